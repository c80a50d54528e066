#include "filestorage.h"
#include "memoryfilesystem.h"

#include "rattanrill/base/concat.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::replication;

namespace {

using Fault = MemoryFileSystem::Fault;

constexpr int scriptSteps = 24;

/// The data folder of a replica, the data that it acknowledged, and a script of writes, saved
/// snapshots and installed snapshots.
struct Folder
{
    Outcome<Done> open(const ReplicaId &self = "a")
    {
        FileStorageOptions options;
        options.folder = "data";
        options.group = "directory";
        options.self = self;
        options.initialVoters = {"a", "b", "c"};
        options.segmentBytes = 300;
        options.minFreeBytes = 1000;
        state = StoredState();
        storage.reset();
        auto opened = outcomeOf([&] { return FileStorage::open(options, files, state); });
        if (!opened.ok())
            return opened.failure();
        storage = std::move(opened.value());
        return Done{};
    }

    PersistRequest request(int step) const
    {
        PersistRequest request;
        request.hardState = state.start.hardState;
        request.hardState->term = static_cast<std::uint64_t>(step) + 1;
        request.entries.push_back({lastIndex + 1, request.hardState->term, EntryKind::Command,
                                   concat("value", step, std::string(60, 'x'))});
        return request;
    }

    /// Runs step \a step of the script and records what the storage acknowledges.
    Outcome<Done> run(int step)
    {
        if (step % 8 == 5)
            return snapshot(lastIndex - 1, false);
        if (step % 8 == 7)
            return snapshot(lastIndex + 10, true);
        const PersistRequest next = request(step);
        const auto written = outcomeOf([&] { return storage->write({next}); });
        if (written.ok())
            acknowledge(next);
        return written;
    }

    Outcome<Done> snapshot(std::uint64_t index, bool installed)
    {
        PersistRequest next;
        next.snapshot = InstalledSnapshot{{index, installed ? term : terms.at(index), {}},
                                          std::make_shared<std::string>(concat("state", index))};
        const auto done = outcomeOf([&] {
            return installed ? storage->install(next) : storage->saveSnapshot(*next.snapshot);
        });
        if (!done.ok())
            return done;
        snapshotIndex = index;
        lastIndex = std::max(lastIndex, index);
        return done;
    }

    void acknowledge(const PersistRequest &request)
    {
        term = request.hardState->term;
        lastIndex = request.entries.back().index;
        values[lastIndex] = request.entries.back().data;
        terms[lastIndex] = term;
    }

    /// Returns the first acknowledged item that is missing from the reopened state; empty when none
    /// is.
    std::string missingData() const
    {
        const RaftStart &start = state.start;
        if (start.hardState.term < term)
            return concat("term ", term);
        if (start.snapshot.index < snapshotIndex)
            return concat("snapshot ", snapshotIndex);
        std::uint64_t index = start.snapshot.index;
        for (const Entry &entry : start.entries) {
            const auto value = values.find(entry.index);
            if (entry.index != ++index || (value != values.end() && entry.data != value->second))
                return concat("entry ", index);
        }
        if (index < lastIndex)
            return concat("entry ", lastIndex);
        const bool differs = state.snapshotData != concat("state", start.snapshot.index);
        return start.snapshot.index != 0 && differs ? "snapshot data" : "";
    }

    MemoryFileSystem files;
    std::unique_ptr<FileStorage> storage;
    StoredState state;
    std::uint64_t term = 0;
    /// Index of the last acknowledged entry or snapshot.
    std::uint64_t lastIndex = 0;
    std::uint64_t snapshotIndex = 0;
    std::map<std::uint64_t, std::string> values;
    std::map<std::uint64_t, std::uint64_t> terms;
};

/// Runs the script with a fault at one file operation, restarts and checks that no acknowledged
/// data is missing. Returns whether the fault was reached.
bool runWithFault(std::uint64_t operation, Fault fault, std::uint64_t seed)
{
    Folder folder;
    std::mt19937_64 random(seed);
    folder.files.failAt(operation, fault);
    bool failed = !folder.open().ok();
    for (int step = 0; step < scriptSteps && !failed; ++step) {
        failed = !folder.run(step).ok();
        // After a failed operation the content of the disk is unknown, so nothing more may be
        // acknowledged.
        if (failed)
            BOOST_REQUIRE(!folder.run(step + 1).ok());
    }
    folder.storage.reset();
    folder.files.restart(random);
    const auto reopened = folder.open();
    BOOST_REQUIRE_MESSAGE(bool(reopened.ok()),
                          concat("operation ", operation, ": ",
                                 reopened.ok() ? "" : describe(reopened.failure())));
    BOOST_REQUIRE_EQUAL(folder.missingData(), "");
    BOOST_REQUIRE(folder.run(0).ok());
    return failed;
}

Folder writtenFolder()
{
    Folder folder;
    BOOST_REQUIRE(folder.open().ok());
    for (int step = 0; step < 5; ++step)
        BOOST_REQUIRE(folder.run(step).ok());
    folder.storage.reset();
    return folder;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FileStorageTest)

// Guards against acknowledged entries, votes or snapshots that are missing after the process was
// killed at any file operation, and against folders that cannot be reopened then.
BOOST_AUTO_TEST_CASE(killAtEveryOperationLosesNothing)
{
    std::uint64_t operation = 0;
    for (bool isReached = true; isReached; ++operation) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed)
            isReached = runWithFault(operation, Fault::Kill, seed);
    }
    BOOST_TEST(operation > 60u);
}

// Guards against acknowledgements after a write, sync, rename or removal has failed, because the
// content of the disk is unknown then.
BOOST_AUTO_TEST_CASE(failureOfAnyOperationStopsTheStorage)
{
    std::uint64_t operation = 0;
    for (bool isReached = true; isReached; ++operation) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
            isReached = runWithFault(operation, Fault::Fail, seed);
    }
    BOOST_TEST(operation > 60u);
}

// Guards against undetected corruption. A changed byte must be refused with the name of the file,
// unless it is in the last frame, where it cannot be distinguished from an interrupted write.
BOOST_AUTO_TEST_CASE(flippedBytesAreRefused)
{
    Folder folder = writtenFolder();
    const auto intact = folder.files.contents();
    const std::string lastSegment = intact.rbegin()->first;
    std::size_t truncated = 0;
    std::size_t refused = 0;
    for (const auto &[path, content] : intact) {
        for (std::size_t offset = 0; offset < content.size(); ++offset) {
            std::string damaged = content;
            damaged[offset] ^= 0x10;
            folder.files.setContent(path, damaged);
            const auto opened = folder.open();
            if (opened.ok()) {
                BOOST_REQUIRE_EQUAL(path, lastSegment);
                BOOST_REQUIRE_EQUAL(folder.state.start.entries.size() + 1, folder.lastIndex);
                ++truncated;
            } else {
                BOOST_REQUIRE(opened.failure().code == ErrorCode::CorruptData);
                BOOST_REQUIRE(opened.failure().detail.find(path) != std::string::npos);
                ++refused;
            }
            folder.storage.reset();
            folder.files.removeAll();
            for (const auto &[name, data] : intact)
                folder.files.setContent(name, data);
        }
    }
    BOOST_TEST_MESSAGE(
            concat(refused, " corruptions refused, ", truncated, " in the last frame truncated"));
    BOOST_TEST(refused > truncated);
}

// Guards against an interrupted write whose partial frame prevents the restart or is read as data.
BOOST_AUTO_TEST_CASE(tornTailIsTruncated)
{
    Folder folder = writtenFolder();
    const auto intact = folder.files.contents();
    const auto &[path, content] = *intact.rbegin();
    for (const std::size_t size : {content.size() - 1, content.size() - 40}) {
        folder.files.setContent(path, content.substr(0, size));
        BOOST_REQUIRE(folder.open().ok());
        BOOST_TEST(folder.state.start.entries.size() + 1 == folder.lastIndex);
        folder.storage.reset();
    }
}

// Guards against a missing segment or snapshot that is mistaken for a shorter log.
BOOST_AUTO_TEST_CASE(missingFilesAreRefused)
{
    Folder folder = writtenFolder();
    const auto intact = folder.files.contents();
    const std::string lastSegment = intact.rbegin()->first;
    for (const auto &[path, content] : intact) {
        if (path == lastSegment)
            continue;
        folder.files.removeAll();
        for (const auto &[name, data] : intact) {
            if (name != path)
                folder.files.setContent(name, data);
        }
        const auto opened = folder.open();
        BOOST_TEST(!opened.ok(), path);
    }
}

// Guards against a replica that opens the data folder of another replica, for example after a wrong
// setting.
BOOST_AUTO_TEST_CASE(folderOfAnotherReplicaIsRefused)
{
    Folder folder = writtenFolder();
    const auto opened = folder.open("b");
    BOOST_REQUIRE(!opened.ok());
    BOOST_TEST((opened.failure().code == ErrorCode::IdentityMismatch));
}

// Guards against a replica that keeps its incarnation after its folder was emptied, although it has
// lost its votes and entries.
BOOST_AUTO_TEST_CASE(emptiedFolderGetsANewIncarnation)
{
    Folder folder = writtenFolder();
    const std::string before = folder.state.incarnation;
    folder.files.removeAll();
    BOOST_REQUIRE(folder.open().ok());
    BOOST_TEST(folder.state.incarnation != before);
}

// Guards against a write on a full disk that leaves a partial frame behind or makes all later
// writes fail.
BOOST_AUTO_TEST_CASE(writeOnFullDiskHasNoEffectAndCanBeRetried)
{
    Folder folder;
    BOOST_REQUIRE(folder.open().ok());
    BOOST_REQUIRE(folder.run(0).ok());
    BOOST_TEST(folder.storage->hasSpace());
    folder.files.setFreeBytes(50);
    BOOST_TEST(!folder.storage->hasSpace());
    for (int step = 1; step < 3; ++step) {
        const auto refused = folder.run(step);
        BOOST_REQUIRE(!refused.ok());
        BOOST_TEST((refused.failure().code == ErrorCode::DiskFull));
    }
    folder.files.setFreeBytes(UINT64_MAX);
    BOOST_REQUIRE(folder.run(1).ok());
    BOOST_REQUIRE(folder.open().ok());
    BOOST_TEST(folder.missingData() == "");
}

// Guards against a missingData() that does not detect a storage whose syncs have no effect.
BOOST_AUTO_TEST_CASE(checkDetectsMissingSyncs)
{
    Folder folder;
    folder.files.ignoreSyncs();
    BOOST_REQUIRE(folder.open().ok());
    for (int step = 0; step < scriptSteps; ++step)
        BOOST_REQUIRE(folder.run(step).ok());
    std::mt19937_64 random(1);
    folder.storage.reset();
    folder.files.restart(random);
    const auto reopened = folder.open();
    BOOST_TEST((!reopened.ok() || folder.missingData() != ""));
}

// Guards against one sync for each write, which would limit the write rate to the sync rate of the
// disk.
BOOST_AUTO_TEST_CASE(writesOfABatchShareOneSync)
{
    Folder folder;
    BOOST_REQUIRE(folder.open().ok());
    std::vector<PersistRequest> batch;
    for (int step = 0; step < 100; ++step) {
        batch.push_back(folder.request(step));
        ++folder.lastIndex;
    }
    const std::uint64_t before = folder.files.operations();
    BOOST_REQUIRE(outcomeOf([&] { return folder.storage->write(batch); }).ok());
    // One write and one sync.
    BOOST_TEST(folder.files.operations() - before == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
