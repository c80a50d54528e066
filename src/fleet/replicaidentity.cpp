#include "rattanrill/fleet/replicaidentity.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace rattanrill::fleet {
namespace {

constexpr const char *identityFile = "/identity.json";

Failure ioFailure(const std::string &action, const std::string &path)
{
    return notRun(ErrorCode::IoError, concat(action, " ", path, ": ", std::strerror(errno)));
}

class FileDescriptor
{
public:
    FileDescriptor(const std::string &path, int flags)
        : m_descriptor(open(path.c_str(), flags | O_CLOEXEC, 0640))
    {}
    ~FileDescriptor()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int value() const { return m_descriptor; }

private:
    int m_descriptor;
};

Result<void> writeSynced(const std::string &path, const std::string &text)
{
    const FileDescriptor file(path, O_CREAT | O_TRUNC | O_WRONLY);
    if (file.value() < 0)
        return fail(ioFailure("cannot create", path));
    if (write(file.value(), text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        return fail(ioFailure("cannot write", path));
    if (fsync(file.value()) != 0)
        return fail(ioFailure("cannot sync", path));
    return {};
}

Result<void> syncFolder(const std::string &folder)
{
    const FileDescriptor directory(folder, O_RDONLY | O_DIRECTORY);
    if (directory.value() < 0 || fsync(directory.value()) != 0)
        return fail(ioFailure("cannot sync", folder));
    return {};
}

Result<ReplicaIdentity> parseIdentity(const std::string &text, const std::string &path)
{
    const auto json = outcomeOf([&] { return parseJson(text, path); });
    ReplicaIdentity identity;
    if (json.ok() && json.value().is_object()) {
        const Json &object = json.value();
        if (object.contains("replica") && object.at("replica").is_string())
            identity.replica = object.at("replica").get<std::string>();
        if (object.contains("founders") && object.at("founders").is_array()) {
            for (const Json &voter : object.at("founders")) {
                if (voter.is_string())
                    identity.initialVoters.push_back(voter.get<std::string>());
            }
        }
    }
    if (identity.replica.empty())
        return fail(notRun(ErrorCode::CorruptData, concat(path, " contains no replica id")));
    return identity;
}

} // namespace

replication::ReplicaId makeReplicaId(const std::string &peerAddress, const std::string &incarnation)
{
    return concat(peerAddress, "/", incarnation);
}

std::string peerAddressOf(const replication::ReplicaId &replica)
{
    return replica.substr(0, replica.find('/'));
}

Result<void> saveIdentity(const std::string &folder, const ReplicaIdentity &identity)
{
    const std::string path = folder + identityFile;
    const std::string temporary = path + ".new";
    const Json json = {{"replica", identity.replica}, {"founders", identity.initialVoters}};
    BOOST_LEAF_CHECK(writeSynced(temporary, dumpJson(json)));
    if (rename(temporary.c_str(), path.c_str()) != 0)
        return fail(ioFailure("cannot rename", temporary));
    return syncFolder(folder);
}

Result<ReplicaIdentity> loadOrCreateIdentity(const std::string &folder,
                                             const ReplicaIdentity &newIdentity)
{
    if (mkdir(folder.c_str(), 0750) != 0 && errno != EEXIST)
        return fail(ioFailure("cannot create", folder));
    const std::string path = folder + identityFile;
    std::ifstream file(path);
    if (file) {
        std::ostringstream text;
        text << file.rdbuf();
        return parseIdentity(text.str(), path);
    }
    BOOST_LEAF_CHECK(saveIdentity(folder, newIdentity));
    return newIdentity;
}

} // namespace rattanrill::fleet
