#include "cassia/keeper/disk_writer.h"

#include "cassia/base/log.h"

#include <thread>
#include <utility>

namespace cassia::keeper {

namespace {
constexpr milliseconds full_disk_pause(200);
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

void disk_writer::submit(work write, std::function<void()> done) {
    thread_.post([this, write = std::move(write), done = std::move(done)] {
        // After a failed sync the kernel may have dropped the pages: a later sync that succeeds
        // would say nothing about them, so nothing is written any more.
        if (failed_)
            return;
        storage::result<void> written = write();
        // A full disk is waited for: nothing that was to be written is acknowledged meanwhile, the
        // other members go on without this one, and a process that ended over it would find the
        // disk as full after its restart.
        for (bool told = false;
             !written && written.error().code == storage::errc::no_space && !stopping_;) {
            if (!told)
                log_warning("disk_full").with("cause", written.error().text);
            told = true;
            std::this_thread::sleep_for(full_disk_pause);
            written = write();
            if (written)
                log_info("disk_has_room");
        }
        if (written) {
            owner_.post(done);
            return;
        }
        failed_ = true;
        owner_.post([this, problem = written.error()] { on_failure_(problem); });
    });
}

} // namespace cassia::keeper
