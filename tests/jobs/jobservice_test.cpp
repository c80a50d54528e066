#include "storefixture.h"

using namespace rattanrill;
using namespace rattanrill::jobs;

BOOST_FIXTURE_TEST_SUITE(JobServiceTest, StoreFixture)

// Guards against a store leader that reads, encodes and decodes all open jobs for each resent
// submission. Callers resend while the leader is slow, so each reading makes it slower.
BOOST_AUTO_TEST_CASE(resentSubmissionsDoNotReadAllOpenJobs)
{
    for (int i = 0; i < 50; ++i)
        submit("job-" + std::to_string(i));
    const int queriesBefore = lists.queries;
    const std::size_t bytesBefore = lists.bytes;
    constexpr int resends = 40;
    submit("job-7", resends);
    awaitReads();
    BOOST_TEST(lists.queries - queriesBefore <= 1);
    // One reading may return the resent job, whose size is far below a tenth of all open jobs.
    BOOST_TEST(lists.bytes - bytesBefore <= wire::encode(submission("job-7").job).size() * 2);
}

// Guards against a job that is answered as one for an unknown route (DENIED) by a store leader
// whose configuration is older than the caller's entry's, or that has none yet.
BOOST_AUTO_TEST_CASE(routeOfANewerConfigurationIsNotUnknown)
{
    wire::SubmitJobRequest request = submission("job");
    request.job.route = "new";
    request.configurationVersion = 1;
    BOOST_TEST((submitFailure(request).code == ErrorCode::UnknownRoute));
    request.configurationVersion = 2;
    BOOST_TEST((submitFailure(request).code != ErrorCode::UnknownRoute));
    thread.run([this] { service.setDeployment(nullptr); });
    BOOST_TEST((submitFailure(submission("other")).code != ErrorCode::UnknownRoute));
}

// Guards against results that can't be read for as long as the settings say, and against stores
// whose memory is exceeded by jobs that are kept for longer. The open job is kept whatever its age.
BOOST_AUTO_TEST_CASE(jobsAreKeptForTheRetentionOfTheSettings)
{
    const auto commitJob = [this](const std::string &id, absl::Duration age, bool isEnded) {
        wire::JobRecord job = submission(id).job;
        job.acceptedAtMs = absl::ToUnixMillis(absl::Now() - age);
        commit(wire::AcceptJob{job, 0});
        if (isEnded)
            commit(wire::EndJob{"w", id});
    };
    commitJob("old", jobRetention + absl::Minutes(1), true);
    commitJob("recent", jobRetention - absl::Seconds(30), true);
    commitJob("open", jobRetention + absl::Minutes(1), false);
    const auto isKept = [this](const std::string &id) {
        bool result = false;
        absl::Notification done;
        thread.run([&] {
            client.read({"w", id, 0, 0}, absl::Seconds(5), [&](const auto &outcome) {
                result = outcome.ok();
                done.Notify();
            });
        });
        done.WaitForNotification();
        return result;
    };
    const absl::Time end = absl::Now() + absl::Seconds(30);
    while (isKept("old") && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(100));
    BOOST_TEST(!isKept("old"));
    BOOST_TEST(isKept("recent"));
    BOOST_TEST(isKept("open"));
}

// Guards against items that run on a store that no longer leads, where nothing stops them when
// their job is ended: leadership is lost between the proposal of a job and its outcome.
BOOST_AUTO_TEST_CASE(jobIsNotRunByAStoreThatHasLostItsLeadership)
{
    absl::Notification done;
    {
        absl::MutexLock lock(&lists.applyGate);
        thread.run([&] {
            client.submit(submission("job"), absl::Seconds(10),
                          [&](const Outcome<Done> &) { done.Notify(); });
        });
        absl::SleepFor(absl::Milliseconds(300));
        thread.run([this] { service.handleLeadershipChange(false); });
    }
    BOOST_REQUIRE(done.WaitForNotificationWithTimeout(absl::Seconds(20)));
    thread.run([this] { BOOST_TEST(executor.openItemCount() == 0u); });
}

// Guards against an accepted job that nobody runs, because the command that accepted it did not
// come from the leader's job service: a former leader forwarded it.
BOOST_AUTO_TEST_CASE(jobThatAnotherStoreProposedIsRun)
{
    commit(wire::AcceptJob{submission("forwarded").job, 0});
    await([this] { return executor.openItemCount() == 10u; });
}

// Guards against items of an accepted job that are left out because the executor has other items of
// it, and against items that run twice.
BOOST_AUTO_TEST_CASE(missingItemsOfAJobAreRun)
{
    wire::JobRecord job = submission("job").job;
    commit(wire::AcceptJob{job, 0});
    thread.run([&] {
        job.items.resize(4);
        executor.add(wire::OpenJob{job, {}, {}});
        BOOST_TEST(executor.openItemCount() == 4u);
    });
    await([this] { return executor.openItemCount() == 10u; });
    absl::SleepFor(absl::Seconds(2));
    thread.run([this] { BOOST_TEST(executor.openItemCount() == 10u); });
    BOOST_TEST(metrics.counter("rattanrill_batch_items_recovered_total") == 6u);
}

// Guards against an accepted job that nobody runs, because a job with the same id was ended and
// purged under the same leadership.
BOOST_AUTO_TEST_CASE(jobWithTheIdOfAPurgedJobIsRun)
{
    submit("job");
    commit(wire::EndJob{"w", "job"});
    await([this] { return executor.openItemCount() == 0u; });
    commit(wire::PurgeJobs{absl::ToUnixMillis(absl::Now() + absl::Minutes(1))});
    submit("other");
    await([this] { return executor.openItemCount() == 10u; });
    submit("job");
    await([this] { return executor.openItemCount() == 20u; });
}

// Guards against items that run after the end of their job, because the command that ended it did
// not come from the leader's job service.
BOOST_AUTO_TEST_CASE(itemsOfAJobThatAnotherStoreEndedAreStopped)
{
    submit("job");
    thread.run([this] { BOOST_TEST(executor.openItemCount() == 10u); });
    commit(wire::EndJob{"w", "job"});
    await([this] { return executor.openItemCount() == 0u; });
}

BOOST_AUTO_TEST_SUITE_END()
