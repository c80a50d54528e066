#pragma once

#include "rattanrill/replication/statemachine.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <map>
#include <string>

namespace rattanrill::replication {

/// Registers by name. The command "NAME=VALUE" sets a register and returns its previous value; the
/// query "NAME" returns its value.
class RegisterMachine : public StateMachine
{
public:
    std::string apply(std::uint64_t, std::string_view command) override
    {
        const std::size_t split = command.find('=');
        std::string &value = m_values[std::string(command.substr(0, split))];
        const std::string previous = value;
        value = command.substr(split + 1);
        return encodeResult(previous);
    }

    std::string query(std::string_view query) const override
    {
        const auto found = m_values.find(std::string(query));
        return encodeResult(found == m_values.end() ? "" : found->second);
    }

    std::string snapshot() const override
    {
        std::string bytes;
        for (const auto &[name, value] : m_values)
            bytes += name + "=" + value + "\n";
        return bytes;
    }

    Result<void> restore(std::string_view snapshot) override
    {
        m_values.clear();
        while (!snapshot.empty()) {
            const std::size_t split = snapshot.find('=');
            const std::size_t end = snapshot.find('\n');
            m_values[std::string(snapshot.substr(0, split))] =
                    snapshot.substr(split + 1, end - split - 1);
            snapshot.remove_prefix(end + 1);
        }
        return {};
    }

private:
    static std::string encodeResult(const std::string &body)
    {
        wire::CommandResult result;
        result.body = body;
        return wire::encode(result);
    }

    std::map<std::string, std::string> m_values;
};

} // namespace rattanrill::replication
