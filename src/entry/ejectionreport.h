#pragma once

#include "rattanrill/base/metrics.h"
#include "rattanrill/policy/servererrorejection.h"
#include "rattanrill/wire/directorymessages.h"

namespace rattanrill::entry {

/// Logs and counts the ejection of an upstream of \a kind.
void reportEjection(Metrics &metrics, wire::UpstreamKind kind,
                    const policy::ServerErrorEjection &ejection);

} // namespace rattanrill::entry
