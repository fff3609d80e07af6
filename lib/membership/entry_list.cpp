#include "cassia/membership/entry_list.h"

#include "cassia/base/digest.h"

#include <iterator>
#include <tuple>

namespace cassia::membership {

namespace {
constexpr milliseconds forgotten_after(60000);
} // namespace

void entry_list::observe(const schema::entry_hello& hello, milliseconds age, instant now) {
    known_entry& known = entries_[entry_id(hello.entry())];
    const instant seen = now - age;
    const bool newer = hello.incarnation() > known.hello.incarnation();
    const bool same = hello.incarnation() == known.hello.incarnation();
    if (newer || (same && seen >= known.seen)) {
        known.hello = hello;
        known.seen = seen;
    }
}

std::vector<const schema::entry_hello*> entry_list::alive(instant now) const {
    std::vector<const schema::entry_hello*> out;
    for (const std::pair<const entry_id, known_entry>& one : entries_) {
        if (now - one.second.seen < silent_after_)
            out.push_back(&one.second.hello);
    }
    return out;
}

std::vector<const schema::entry_hello*> entry_list::accepting(instant now) const {
    std::vector<const schema::entry_hello*> out;
    for (const schema::entry_hello* one : alive(now)) {
        if (!one->draining() && !one->stale())
            out.push_back(one);
    }
    return out;
}

std::uint64_t entry_list::version(instant now) {
    std::vector<std::string> names;
    for (const schema::entry_hello* one : accepting(now))
        names.push_back(one->entry() + "/" + std::to_string(one->incarnation()));
    if (names != last_open_) {
        last_open_ = std::move(names);
        ++version_;
    }
    return version_;
}

void entry_list::forget_old(instant now) {
    for (auto one = entries_.begin(); one != entries_.end();)
        one = now - one->second.seen > forgotten_after ? entries_.erase(one) : std::next(one);
}

entry_id steward_of(const endpoint_id& endpoint, const std::string& zone,
                    const std::vector<const schema::entry_hello*>& entries) {
    std::tuple<bool, std::uint64_t> best{false, 0};
    entry_id chosen;
    for (const schema::entry_hello* one : entries) {
        const bool near = one->zone() == zone;
        const std::tuple<bool, std::uint64_t> rank{
            near, stable_hash(endpoint.str() + "\n" + one->entry())};
        if (chosen.empty() || rank > best) {
            best = rank;
            chosen = entry_id(one->entry());
        }
    }
    return chosen;
}

} // namespace cassia::membership
