#pragma once

#include "admission.h"
#include "entrysettings.h"
#include "exchange.h"
#include "fileupload.h"
#include "objectid.h"
#include "partitions.h"

#include "rattanrill/directory/directorysubscriber.h"

#include <string>

namespace rattanrill::entry {

/// Serves POST /v1/files, GET /v1/files/{id} and GET /v1/files/{id}/content.
class FileHandler
{
public:
    FileHandler(const Admission &admission, const directory::DirectorySubscriber &directory,
                Partitions &partitions, const BatchSettings &settings, const Clock &clock);

    void upload(Exchange &exchange);
    void describe(Exchange &exchange, const std::string &id);
    void content(Exchange &exchange, const std::string &id);

private:
    /// Fields of an upload form.
    struct Form
    {
        /// Name of the field whose content is being received.
        std::string field;
        std::string purpose;
        std::string fileName;
        bool hasFile = false;
    };

    ItemChecker makeChecker(const Caller &caller) const;
    void readRaw(Exchange &exchange, FileUpload &upload, Form &form);
    void readForm(Exchange &exchange, FileUpload &upload, Form &form);
    Outcome<wire::JobStatus> readJob(const Caller &caller, const ObjectId &result);
    void sendPages(Exchange &exchange, const Caller &caller, const ObjectId &job,
                   const wire::BatchQueryResult &firstPage, std::uint64_t total);
    Outcome<wire::BatchQueryResult> readPage(const std::string &workspace, const ObjectId &job,
                                             std::uint64_t firstIndex);

    const Admission &m_admission;
    const directory::DirectorySubscriber &m_directory;
    Partitions &m_partitions;
    const BatchSettings &m_settings;
    const Clock &m_clock;
};

} // namespace rattanrill::entry
