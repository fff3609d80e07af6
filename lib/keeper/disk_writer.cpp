#include "cassia/keeper/disk_writer.h"

#include <utility>

namespace cassia::keeper {

disk_writer::disk_writer(net::task& owner, std::function<void(const storage::error&)> on_failure)
    : owner_(owner), thread_("disk"), on_failure_(std::move(on_failure)) {}

disk_writer::~disk_writer() {
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
        const storage::result<void> written = write();
        if (written) {
            owner_.post(done);
            return;
        }
        failed_ = true;
        owner_.post([this, problem = written.error()] { on_failure_(problem); });
    });
}

} // namespace cassia::keeper
