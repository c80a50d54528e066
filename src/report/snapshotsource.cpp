#include "snapshotsource.h"

#include "rattanrill/base/concat.h"

#include <httplib.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace rattanrill::report {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view urlPrefix = "http://";
constexpr std::string_view pageSuffix = ".prom";
constexpr time_t scrapeTimeoutSeconds = 5;

bool isUrl(const std::string &source)
{
    return source.compare(0, urlPrefix.size(), urlPrefix) == 0;
}

Result<absl::Time> parseTime(const std::string &text)
{
    absl::Time time;
    std::string error;
    if (absl::ParseTime(absl::RFC3339_full, text, &time, &error))
        return time;
    char *end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0')
        return fail(notRun(ErrorCode::InvalidArgument,
                           concat("\"", text, "\" is neither RFC 3339 nor seconds since 1970")));
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

/// Replaces the characters of \a instance that are not safe in a file name.
std::string fileNameOf(std::string instance)
{
    for (char &c : instance) {
        const bool safe = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '-'
                          || c == '_';
        if (!safe)
            c = '_';
    }
    return instance;
}

Result<void> readFolderPages(const fs::path &folder, absl::Time at, std::vector<MetricsPage> &pages)
{
    std::error_code error;
    for (const fs::directory_entry &entry : fs::directory_iterator(folder, error)) {
        if (entry.path().extension() != pageSuffix)
            continue;
        BOOST_LEAF_AUTO(text, readFile(entry.path().string()));
        pages.push_back({at, entry.path().stem().string(), std::move(text)});
    }
    if (error)
        return fail(notRun(ErrorCode::IoError,
                           concat("cannot list \"", folder.string(), "\": ", error.message())));
    return {};
}

} // namespace

Result<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return fail(notRun(ErrorCode::IoError,
                           concat("cannot read \"", file, "\": ", std::strerror(errno))));
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Result<MetricsPage> readSnapshotOption(const std::string &option)
{
    const std::size_t separator = option.find('=');
    if (separator == std::string::npos)
        return fail(notRun(ErrorCode::InvalidArgument,
                           concat("snapshot \"", option, "\" is not TIME=SOURCE")));
    BOOST_LEAF_AUTO(at, parseTime(option.substr(0, separator)));
    const std::string source = option.substr(separator + 1);
    if (isUrl(source))
        return scrape(source, at);
    BOOST_LEAF_AUTO(text, readFile(source));
    return MetricsPage{at, fs::path(source).stem().string(), text};
}

Result<std::vector<MetricsPage>> readSnapshotFolder(const std::string &folder)
{
    std::vector<MetricsPage> pages;
    std::error_code error;
    for (const fs::directory_entry &entry : fs::directory_iterator(folder, error)) {
        if (!entry.is_directory())
            continue;
        BOOST_LEAF_AUTO(at, parseTime(entry.path().filename().string()));
        BOOST_LEAF_CHECK(readFolderPages(entry.path(), at, pages));
    }
    if (error)
        return fail(notRun(ErrorCode::IoError,
                           concat("cannot list \"", folder, "\": ", error.message())));
    return pages;
}

Result<MetricsPage> scrape(const std::string &url, absl::Time now)
{
    const std::size_t pathStart = url.find('/', urlPrefix.size());
    const std::string base = url.substr(0, pathStart);
    const std::string path = pathStart == std::string::npos ? "/metrics" : url.substr(pathStart);
    httplib::Client client(base);
    client.set_connection_timeout(scrapeTimeoutSeconds);
    client.set_read_timeout(scrapeTimeoutSeconds);
    const httplib::Result result = client.Get(path);
    if (!result || result->status != 200)
        return fail(notRun(ErrorCode::ConnectionLost,
                           concat("cannot read ", url, ": ",
                                  result ? std::to_string(result->status)
                                         : httplib::to_string(result.error()))));
    return MetricsPage{now, base.substr(std::min(urlPrefix.size(), base.size())), result->body};
}

Result<void> savePages(const std::vector<MetricsPage> &pages, const std::string &folder)
{
    for (const MetricsPage &page : pages) {
        const fs::path target = fs::path(folder) / std::to_string(absl::ToUnixSeconds(page.at));
        std::error_code error;
        fs::create_directories(target, error);
        std::ofstream stream(target / concat(fileNameOf(page.instance), pageSuffix),
                             std::ios::binary);
        stream << page.text;
        stream.flush();
        if (!stream)
            return fail(notRun(ErrorCode::IoError,
                               concat("cannot write to \"", target.string(), "\"")));
    }
    return {};
}

Result<std::vector<Snapshot>> snapshotsOf(const std::vector<MetricsPage> &pages)
{
    if (pages.empty())
        return fail(notRun(ErrorCode::InvalidArgument, "no metrics page is given"));
    std::map<absl::Time, Snapshot> byTime;
    for (const MetricsPage &page : pages) {
        BOOST_LEAF_AUTO(samples, parseExposition(page.text, page.instance));
        Snapshot &snapshot = byTime[page.at];
        snapshot.at = page.at;
        snapshot.instances[page.instance] = std::move(samples);
    }
    std::vector<Snapshot> snapshots;
    snapshots.reserve(byTime.size());
    for (auto &[at, snapshot] : byTime)
        snapshots.push_back(std::move(snapshot));
    return snapshots;
}

} // namespace rattanrill::report
