#include "cassia/keeper/heartbeat_queue.h"

#include <utility>

namespace cassia::keeper {

void heartbeat_queue::add(const schema::entry_hello& hello) {
    waiting_[hello.entry()] = hello;
}

// By name behind the one answered last: a keeper that can't answer all would otherwise never reach
// those at the end.
std::optional<schema::entry_hello> heartbeat_queue::next() {
    if (waiting_.empty())
        return std::nullopt;
    auto found = waiting_.upper_bound(last_);
    found = found == waiting_.end() ? waiting_.begin() : found;
    schema::entry_hello hello = std::move(found->second);
    last_ = found->first;
    waiting_.erase(found);
    return hello;
}

} // namespace cassia::keeper
