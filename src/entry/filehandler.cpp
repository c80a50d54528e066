#include "filehandler.h"

#include "batchformat.h"
#include "callerserver.h"
#include "viewqueries.h"

#include "rattanrill/base/concat.h"

#include <memory>

namespace rattanrill::entry {
namespace {

constexpr std::uint64_t maxPageItems = 500;
constexpr std::size_t maxFieldBytes = 1024;

} // namespace

FileHandler::FileHandler(const Admission &admission,
                         const directory::DirectorySubscriber &directory, Partitions &partitions,
                         const BatchSettings &settings, const Clock &clock)
    : m_admission(admission)
    , m_directory(directory)
    , m_partitions(partitions)
    , m_settings(settings)
    , m_clock(clock)
{}

ItemChecker FileHandler::makeChecker(const Caller &caller) const
{
    const auto view = m_directory.view();
    const auto isServed = [view](const std::string &model) { return servesModel(*view, model); };
    return ItemChecker(isServed, m_settings.maxItems, caller.key);
}

void FileHandler::upload(Exchange &exchange)
{
    const std::optional<Caller> caller = m_admission.authenticate(exchange);
    if (!caller)
        return;
    const ObjectId id = newObjectId(ObjectKind::File, m_partitions.count());
    FileUpload upload(m_partitions, id, caller->workspace, makeChecker(*caller),
                      {m_settings.maxLineBytes, m_settings.maxFileBytes});
    Form form;
    form.purpose = exchange.request().get_param_value("purpose");
    if (!exchange.hasBody())
        upload.refuse(notRun(ErrorCode::InvalidRequest, "the request has no body"));
    else if (exchange.request().is_multipart_form_data())
        readForm(exchange, upload, form);
    else
        readRaw(exchange, upload, form);
    if (!form.purpose.empty() && form.purpose != "batch")
        upload.refuse(notRun(ErrorCode::InvalidRequest, "\"purpose\" must be \"batch\""));
    const Outcome<wire::FileStatus> status = upload.finish();
    if (!status.ok()) {
        exchange.sendFailure(status.failure());
        return;
    }
    exchange.sendJson(dumpJson(
            fileObject(id.text(), status.value().bytes, absl::ToUnixMillis(m_clock.wallNow()),
                       form.fileName.empty() ? "batch.jsonl" : form.fileName, "batch")));
}

void FileHandler::readRaw(Exchange &exchange, FileUpload &upload, Form &form)
{
    // After a failure the rest of the body is read and discarded, because most clients read the
    // response only after they have sent the whole request.
    const bool complete = exchange.reader()([&](const char *data, std::size_t size) {
        upload.feed(std::string_view(data, size));
        return true;
    });
    form.hasFile = true;
    if (!complete)
        upload.refuse(notRun(ErrorCode::ClientDisconnected, "the request body ended early"));
}

void FileHandler::readForm(Exchange &exchange, FileUpload &upload, Form &form)
{
    const bool complete = exchange.reader()(
            [&](const httplib::MultipartFormData &part) {
                form.field = part.name;
                if (part.name == "file") {
                    form.hasFile = true;
                    form.fileName = part.filename;
                } else if (part.name == "purpose") {
                    form.purpose.clear();
                }
                return true;
            },
            [&](const char *data, std::size_t size) {
                if (form.field == "file")
                    upload.feed(std::string_view(data, size));
                else if (form.field == "purpose" && form.purpose.size() + size <= maxFieldBytes)
                    form.purpose.append(data, size);
                return true;
            });
    if (!complete) {
        CallerServer::connection().closeAfterResponse();
        upload.refuse(notRun(ErrorCode::InvalidRequest, "the form data is malformed"));
    } else if (!form.hasFile) {
        upload.refuse(notRun(ErrorCode::InvalidRequest, "the form data has no field \"file\""));
    }
}

Outcome<wire::JobStatus> FileHandler::readJob(const Caller &caller, const ObjectId &result)
{
    const wire::ReadJob query{result.withKind(ObjectKind::Batch).text(), caller.workspace};
    const auto response = m_partitions.query(result.partition, query);
    if (!response.ok())
        return response.failure();
    return response.value().job;
}

void FileHandler::describe(Exchange &exchange, const std::string &id)
{
    const std::optional<Caller> caller = m_admission.authenticate(exchange);
    if (!caller)
        return;
    const Outcome<ObjectId> file =
            outcomeOf([&] { return parseObjectId(id, m_partitions.count()); });
    if (!file.ok() || file.value().kind == ObjectKind::Batch) {
        exchange.sendFailure(notRun(ErrorCode::NotFound, concat("no file \"", id, "\"")));
        return;
    }
    if (file.value().kind == ObjectKind::Result) {
        const Outcome<wire::JobStatus> job = readJob(*caller, file.value());
        if (!job.ok())
            exchange.sendFailure(job.failure());
        else
            exchange.sendJson(dumpJson(
                    fileObject(id, 0, job.value().createdAtMs, "results.jsonl", "batch_output")));
        return;
    }
    // FileStatus has neither the creation time nor the file name, so the response contains 0 and a
    // fixed name.
    const auto response =
            m_partitions.query(file.value().partition, wire::ReadFile{id, caller->workspace});
    if (!response.ok())
        exchange.sendFailure(response.failure());
    else
        exchange.sendJson(
                dumpJson(fileObject(id, response.value().file.bytes, 0, "batch.jsonl", "batch")));
}

Outcome<wire::BatchQueryResult> FileHandler::readPage(const std::string &workspace,
                                                      const ObjectId &job, std::uint64_t firstIndex)
{
    return m_partitions.query(job.partition,
                              wire::ReadResults{job.text(), workspace, firstIndex, maxPageItems});
}

void FileHandler::content(Exchange &exchange, const std::string &id)
{
    const std::optional<Caller> caller = m_admission.authenticate(exchange);
    if (!caller)
        return;
    const Outcome<ObjectId> file =
            outcomeOf([&] { return parseObjectId(id, m_partitions.count()); });
    if (!file.ok() || file.value().kind != ObjectKind::Result) {
        exchange.sendFailure(notRun(ErrorCode::NotFound, concat("no results \"", id, "\"")));
        return;
    }
    const Outcome<wire::JobStatus> job = readJob(*caller, file.value());
    if (!job.ok()) {
        exchange.sendFailure(job.failure());
        return;
    }
    const ObjectId jobId = file.value().withKind(ObjectKind::Batch);
    const auto firstPage = readPage(caller->workspace, jobId, 0);
    if (!firstPage.ok())
        exchange.sendFailure(firstPage.failure());
    else
        sendPages(exchange, *caller, jobId, firstPage.value(), job.value().counts.total);
}

void FileHandler::sendPages(Exchange &exchange, const Caller &caller, const ObjectId &job,
                            const wire::BatchQueryResult &firstPage, std::uint64_t total)
{
    const auto page = std::make_shared<wire::BatchQueryResult>(firstPage);
    exchange.response().set_chunked_content_provider(
            "application/jsonl",
            [this, caller, job, page, total](std::size_t, httplib::DataSink &sink) {
                std::string lines;
                for (const wire::ResultLine &line : page->results)
                    lines += resultLine(job.text(), line) + "\n";
                if (!lines.empty() && !sink.write(lines.data(), lines.size()))
                    return false;
                const std::uint64_t next = page->nextIndex;
                if (next >= total) {
                    sink.done();
                    return true;
                }
                // A failure between two pages aborts the transfer, so that the caller does not
                // mistake a part for the whole.
                if (m_admission.keys().revoked(caller))
                    return false;
                const auto response = readPage(caller.workspace, job, next);
                if (!response.ok() || response.value().nextIndex <= next)
                    return false;
                *page = response.value();
                return true;
            });
}

} // namespace rattanrill::entry
