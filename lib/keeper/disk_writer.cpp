#include "cassia/keeper/disk_writer.h"

#include "cassia/base/log.h"

#include <thread>
#include <utility>

namespace cassia::keeper {

namespace {
constexpr milliseconds full_disk_retry_interval(200);
} // namespace

disk_writer::disk_writer(net::task& owner, std::function<void(const storage::error&)> on_failure)
    : owner_(owner), thread_("disk"), on_failure_(std::move(on_failure)) {}

disk_writer::~disk_writer() {
    stopping_ = true;
    thread_.stop();
}

void disk_writer::start() {
    thread_.start();
}

void disk_writer::submit(write_function write, std::function<void()> done) {
    thread_.post([this, write = std::move(write), done = std::move(done)] {
        // After a failed sync the kernel may have dropped the dirty pages. A later sync that
        // succeeds would say nothing about them, so nothing is written any more.
        if (failed_)
            return;
        storage::result<void> written = write();
        // If the disk is full, the write is retried until there is room. Nothing that depends on it
        // is acknowledged meanwhile and the other members carry on; exiting would not help, as the
        // disk would still be full after the restart.
        for (bool logged = false;
             !written && written.error().code == storage::errc::no_space && !stopping_;) {
            if (!logged)
                log_warning("disk_full").with("cause", written.error().text);
            logged = true;
            std::this_thread::sleep_for(full_disk_retry_interval);
            written = write();
            if (written)
                log_info("disk_has_room");
        }
        if (written) {
            owner_.post(done);
            return;
        }
        failed_ = true;
        owner_.post([this, error = written.error()] { on_failure_(error); });
    });
}

} // namespace cassia::keeper
