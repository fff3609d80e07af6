#include "cassia/membership/entry_list.h"

#include "cassia/base/digest.h"

#include <iterator>
#include <tuple>

namespace cassia::membership {

namespace {
constexpr milliseconds forget_after(60000);
} // namespace

void entry_list::observe(const schema::entry_hello& hello, milliseconds age, instant now) {
    known_entry& known = entries_[entry_id(hello.entry())];
    const instant seen_at = now - age;
    const bool newer = hello.incarnation() > known.hello.incarnation();
    const bool same_incarnation = hello.incarnation() == known.hello.incarnation();
    if (newer || (same_incarnation && seen_at >= known.last_seen)) {
        known.hello = hello;
        known.last_seen = seen_at;
    }
}

std::vector<const schema::entry_hello*> entry_list::alive(instant now) const {
    std::vector<const schema::entry_hello*> out;
    for (const std::pair<const entry_id, known_entry>& known : entries_) {
        if (now - known.second.last_seen < silent_after_)
            out.push_back(&known.second.hello);
    }
    return out;
}

std::vector<const schema::entry_hello*> entry_list::accepting(instant now) const {
    std::vector<const schema::entry_hello*> out;
    for (const schema::entry_hello* hello : alive(now)) {
        if (!hello->draining() && !hello->stale())
            out.push_back(hello);
    }
    return out;
}

std::uint64_t entry_list::version(instant now) {
    std::vector<std::string> names;
    for (const schema::entry_hello* hello : accepting(now))
        names.push_back(hello->entry() + "/" + std::to_string(hello->incarnation()));
    if (names != last_accepting_) {
        last_accepting_ = std::move(names);
        ++version_;
    }
    return version_;
}

void entry_list::forget_old(instant now) {
    for (auto known = entries_.begin(); known != entries_.end();)
        known =
            now - known->second.last_seen > forget_after ? entries_.erase(known) : std::next(known);
}

entry_id steward_of(const endpoint_id& endpoint, const std::string& zone,
                    const std::vector<const schema::entry_hello*>& entries) {
    std::tuple<bool, std::uint64_t> best{false, 0};
    entry_id steward;
    for (const schema::entry_hello* entry : entries) {
        const bool same_zone = entry->zone() == zone;
        const std::tuple<bool, std::uint64_t> rank{
            same_zone, stable_hash(endpoint.str() + "\n" + entry->entry())};
        if (steward.empty() || rank > best) {
            best = rank;
            steward = entry_id(entry->entry());
        }
    }
    return steward;
}

} // namespace cassia::membership
