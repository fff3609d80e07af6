/// Runs disk writes (log batches, snapshots) on a dedicated thread, in the order submitted. While
/// one write and its sync are in progress, further log records accumulate and share the next sync.
#pragma once

#include "cassia/net/task.h"
#include "cassia/storage/error.h"

#include <atomic>
#include <functional>

namespace cassia::keeper {

class disk_writer {
public:
    using write_function = std::function<storage::result<void>()>;

    /// \param owner task on which the `done` functions and `on_failure` run.
    /// \param on_failure called once if a write fails; no later write is executed.
    disk_writer(net::task& owner, std::function<void(const storage::error&)> on_failure);
    ~disk_writer();

    void start();
    /// Runs `write` on the writer's thread, then `done` on the owner's. Neither runs after a write
    /// has failed.
    void submit(write_function write, std::function<void()> done);

private:
    net::task& owner_;
    net::task thread_;
    std::function<void(const storage::error&)> on_failure_;
    bool failed_ = false; ///< accessed by the writer's thread only
    std::atomic<bool> stopping_{false};
};

} // namespace cassia::keeper
