#pragma once

#include "fleethistory.h"

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace rattanrill::report {

/// Metrics page of one instance, as read at one time.
struct MetricsPage
{
    absl::Time at;
    std::string instance;
    std::string text;
};

/// Whole content of \a file. Fails with IoError.
Result<std::string> readFile(const std::string &file);

/// Reads the page given as "TIME=FILE" or "TIME=URL", with TIME in RFC 3339 or seconds since 1970.
/// The instance is the file name without suffix, or host and port of the URL. Fails with
/// InvalidArgument, IoError or ConnectionLost.
Result<MetricsPage> readSnapshotOption(const std::string &option);

/// Reads the pages of a folder in the layout of savePages(): FOLDER/SECONDS/INSTANCE.prom.
Result<std::vector<MetricsPage>> readSnapshotFolder(const std::string &folder);

/// Reads the metrics page at \a url and sets its time to \a now. A URL without a path gets the path
/// /metrics.
Result<MetricsPage> scrape(const std::string &url, absl::Time now);

/// Writes each page to FOLDER/SECONDS/INSTANCE.prom. Fails with IoError.
Result<void> savePages(const std::vector<MetricsPage> &pages, const std::string &folder);

/// Parses the pages and orders them by time. Fails with MalformedMessage, or InvalidArgument when
/// there is no page.
Result<std::vector<Snapshot>> snapshotsOf(const std::vector<MetricsPage> &pages);

} // namespace rattanrill::report
