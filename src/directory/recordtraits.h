#pragma once

#include "rattanrill/wire/directorymessages.h"

#include <string>

/// Kind and id of each record type, which identify the record in a wire::RecordChange.
namespace rattanrill::directory {

template <typename Record>
struct RecordTraits;

#define RATTANRILL_RECORD(Type, Kind, idMember) \
    template <> \
    struct RecordTraits<wire::Type> \
    { \
        static constexpr wire::RecordKind kind = wire::RecordKind::Kind; \
        static const std::string &id(const wire::Type &record) { return record.idMember; } \
    };

RATTANRILL_RECORD(Contract, Contract, workspace)
RATTANRILL_RECORD(ApiKey, ApiKey, keyId)
RATTANRILL_RECORD(Config, Config, name)
RATTANRILL_RECORD(Route, Route, name)
RATTANRILL_RECORD(Upstream, Upstream, name)
RATTANRILL_RECORD(Member, Member, instance)
RATTANRILL_RECORD(FencingToken, FencingToken, upstream)
RATTANRILL_RECORD(QuarantinedRequest, QuarantinedRequest, fingerprint)

#undef RATTANRILL_RECORD

} // namespace rattanrill::directory
