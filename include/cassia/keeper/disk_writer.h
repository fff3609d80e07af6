/// Writes on a thread of its own: batches of the log, and snapshots between them, in the order
/// given. Many records share one sync because new ones gather while the disk is busy.
#pragma once

#include "cassia/net/task.h"
#include "cassia/storage/error.h"

#include <atomic>
#include <functional>

namespace cassia::keeper {

class disk_writer {
public:
    using work = std::function<storage::result<void>()>;

    /// \param owner task on which `done` functions run.
    /// \param on_failure runs there once if the disk fails; nothing written after is durable.
    disk_writer(net::task& owner, std::function<void(const storage::error&)> on_failure);
    ~disk_writer();

    void start();
    /// Runs `write` on the disk's thread, then `done` on the owner's, unless the disk failed.
    void submit(work write, std::function<void()> done);

private:
    net::task& owner_;
    net::task thread_;
    std::function<void(const storage::error&)> on_failure_;
    bool failed_ = false; ///< touched by the disk's thread only
    std::atomic<bool> stopping_{false};
};

} // namespace cassia::keeper
