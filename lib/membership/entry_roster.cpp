#include "cassia/membership/entry_roster.h"

#include <algorithm>
#include <utility>

namespace cassia::membership {

namespace {
constexpr milliseconds lost_forgotten_after(60000);
} // namespace

static bool same_for_others(const schema::entry_hello& a, const schema::entry_hello& b) {
    return a.incarnation() == b.incarnation() && a.peer_address() == b.peer_address() &&
           a.zone() == b.zone() && a.draining() == b.draining();
}

void entry_roster::observe(const schema::entry_hello& hello, instant now) {
    member& known = members_[hello.entry()];
    const bool changed =
        known.changed_at == 0 || known.lost || !same_for_others(known.hello, hello);
    known.seen = now;
    if (!changed)
        return;
    known.hello = hello;
    known.lost = false;
    known.changed_at = ++revision_;
}

void entry_roster::mark_lost(instant now) {
    for (auto one = members_.begin(); one != members_.end();) {
        member& known = one->second;
        const microseconds silence = now - known.seen;
        if (!known.lost && silence >= silent_after_) {
            known.lost = true;
            known.changed_at = ++revision_;
        }
        if (known.lost && silence >= lost_forgotten_after) {
            forgotten_at_ = std::max(forgotten_at_, known.changed_at);
            one = members_.erase(one);
        } else {
            ++one;
        }
    }
}

void entry_roster::write(std::uint64_t epoch, std::uint64_t revision, schema::keeper_beacon& beacon,
                         instant now) const {
    beacon.set_entries_epoch(epoch_);
    beacon.set_entries_revision(revision_);
    const bool all = epoch != epoch_ || revision < forgotten_at_ || revision == 0;
    beacon.set_all_entries(all);
    for (const std::pair<const std::string, member>& one : members_) {
        const member& known = one.second;
        if (!all && known.changed_at <= revision)
            continue;
        if (known.lost) {
            if (!all)
                beacon.add_lost_entries(one.first);
            continue;
        }
        schema::entry_hello* told = beacon.add_entries();
        told->set_entry(one.first);
        told->set_incarnation(known.hello.incarnation());
        told->set_peer_address(known.hello.peer_address());
        told->set_zone(known.hello.zone());
        told->set_draining(known.hello.draining());
        told->set_age_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(now - known.seen).count()));
    }
}

void roster_copy::follow(const peer_address& source) {
    if (source == source_)
        return;
    source_ = source;
    epoch_ = 0;
    revision_ = 0;
}

void roster_copy::write(schema::entry_hello& hello) const {
    hello.set_entries_epoch(epoch_);
    hello.set_entries_revision(revision_);
}

bool roster_copy::apply_beacon(const peer_address& keeper, const schema::keeper_beacon& beacon) {
    if (keeper != source_ || beacon.entries_revision() == 0)
        return false;
    // A late beacon would take back what a newer one has told.
    const bool other_list = beacon.entries_epoch() != epoch_;
    if (!other_list && beacon.entries_revision() < revision_)
        return false;
    if (other_list && !beacon.all_entries())
        return false;
    epoch_ = beacon.entries_epoch();
    revision_ = beacon.entries_revision();
    if (beacon.all_entries())
        entries_.clear();
    for (const schema::entry_hello& one : beacon.entries()) {
        if (one.entry() != self_)
            entries_[entry_id(one.entry())] = one;
    }
    for (const std::string& one : beacon.lost_entries())
        entries_.erase(entry_id(one));
    return beacon.all_entries() || beacon.entries_size() > 0 || beacon.lost_entries_size() > 0;
}

} // namespace cassia::membership
