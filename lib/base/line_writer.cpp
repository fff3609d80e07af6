#include "cassia/base/line_writer.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace cassia {

namespace {
// What is kept while nobody reads. The second half is for failures only.
constexpr std::size_t most_kept_bytes = 1U << 18U;
constexpr std::size_t most_usual_bytes = most_kept_bytes / 2;
// A pipe that polls as writable takes this much without waiting.
constexpr std::size_t most_at_once = PIPE_BUF;
} // namespace

static bool is_plain_file(int descriptor) {
    struct stat status = {};
    return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

line_writer::line_writer(int descriptor)
    : descriptor_(descriptor), may_wait_(!is_plain_file(descriptor)) {}

bool line_writer::has_room() const {
    if (!may_wait_)
        return true;
    pollfd asked = {descriptor_, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

// A process whose log nobody reads would stop in the middle of a request once the pipe is full, and
// be taken for gone. So it writes only what fits now; the rest is kept, and beyond that dropped and
// counted. The descriptor isn't made non-blocking: it may be shared with other programs.
void line_writer::write_kept() {
    while (!kept_.empty() && has_room()) {
        const std::size_t part = std::min(kept_.size(), most_at_once);
        const ssize_t written = ::write(descriptor_, kept_.data(), part);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return;
        kept_.erase(0, static_cast<std::size_t>(written));
    }
}

void line_writer::write(std::string_view line, line_rank rank) {
    if (!kept_.empty())
        write_kept();
    if (kept_.empty() && dropped_ > told_dropped_) {
        kept_ = "event=log_lines_dropped count=" + std::to_string(dropped_ - told_dropped_) + "\n";
        told_dropped_ = dropped_;
    }
    const std::size_t most = rank == line_rank::failure ? most_kept_bytes : most_usual_bytes;
    if (kept_.size() + line.size() + 1 > most) {
        ++dropped_;
        return;
    }
    kept_.append(line);
    kept_.push_back('\n');
    write_kept();
}

} // namespace cassia
