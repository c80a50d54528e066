#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"
#include "rattanrill/wire/batchmessages.h"

#include "absl/time/time.h"

#include <string>
#include <string_view>

namespace rattanrill::controlclient {
class ControlClient;
}

namespace rattanrill::entry {

/// Blocking access to the partition groups.
class Partitions
{
public:
    virtual ~Partitions() = default;

    virtual int count() const = 0;
    /// Proposes a command and waits for the result. An \a idempotent command is sent again when its
    /// response is lost.
    virtual Outcome<wire::BatchResult> propose(int partition, wire::BatchOperation operation,
                                               bool idempotent) = 0;
    virtual Outcome<wire::BatchQueryResult> query(int partition,
                                                  wire::BatchQueryOperation query) = 0;
};

/// Partition groups hosted by the control instances.
class ControlPartitions : public Partitions
{
public:
    ControlPartitions(controlclient::ControlClient &control, int count, absl::Duration timeout,
                      const Clock &clock);

    int count() const override { return m_count; }
    Outcome<wire::BatchResult> propose(int partition, wire::BatchOperation operation,
                                       bool idempotent) override;
    Outcome<wire::BatchQueryResult> query(int partition, wire::BatchQueryOperation query) override;

private:
    controlclient::ControlClient &m_control;
    int m_count;
    absl::Duration m_timeout;
    const Clock &m_clock;
};

} // namespace rattanrill::entry
