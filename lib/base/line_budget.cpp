#include "cassia/base/line_budget.h"

namespace cassia {

namespace {
constexpr milliseconds one_second(1000);
// A gateway at four times the users' heaviest traffic ends some 100 requests a second, with two or
// three lines each. Beyond that a line more says little, and its writing takes time from requests.
constexpr std::uint32_t usual_lines_per_second = 200;
// Failures have a budget of their own, so that no flood of successes can hide one.
constexpr std::uint32_t failure_lines_per_second = 400;
} // namespace

bool line_budget::take(log_level level, std::string_view event, instant now) {
    const bool failure = level >= log_level::warning;
    use& counted = uses_[{failure, std::string(event)}];
    if (now - counted.second_began >= one_second) {
        counted.second_began = now;
        counted.written = 0;
    }
    const std::uint32_t most = failure ? failure_lines_per_second : usual_lines_per_second;
    if (counted.written < most) {
        ++counted.written;
        return true;
    }
    ++counted.folded;
    return false;
}

std::vector<folded_lines> line_budget::folded(instant now) {
    std::vector<folded_lines> out;
    for (std::pair<const std::pair<bool, std::string>, use>& one : uses_) {
        if (one.second.folded == 0 || now - one.second.second_began < one_second)
            continue;
        out.push_back({one.first.second, one.second.folded});
        one.second.folded = 0;
    }
    return out;
}

} // namespace cassia
