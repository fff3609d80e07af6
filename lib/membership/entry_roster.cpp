#include "cassia/membership/entry_roster.h"

#include <algorithm>
#include <utility>

namespace cassia::membership {

namespace {
constexpr milliseconds forget_lost_after(60000);
} // namespace

static bool same_listed_fields(const schema::entry_hello& a, const schema::entry_hello& b) {
    return a.incarnation() == b.incarnation() && a.peer_address() == b.peer_address() &&
           a.zone() == b.zone() && a.draining() == b.draining();
}

void entry_roster::observe(const schema::entry_hello& heartbeat, instant now) {
    known_entry& known = entries_[heartbeat.entry()];
    const bool changed = known.changed_revision == 0 || known.lost ||
                         !same_listed_fields(known.heartbeat, heartbeat);
    known.last_seen = now;
    if (!changed)
        return;
    known.heartbeat = heartbeat;
    known.lost = false;
    known.changed_revision = ++revision_;
}

void entry_roster::mark_lost(instant now) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        known_entry& known = it->second;
        const microseconds since_last_seen = now - known.last_seen;
        if (!known.lost && since_last_seen >= unresponsive_after_) {
            known.lost = true;
            known.changed_revision = ++revision_;
        }
        if (known.lost && since_last_seen >= forget_lost_after) {
            forgotten_revision_ = std::max(forgotten_revision_, known.changed_revision);
            it = entries_.erase(it);
        } else {
            ++it;
        }
    }
}

void entry_roster::write(std::uint64_t epoch, std::uint64_t revision, schema::keeper_beacon& beacon,
                         instant now) const {
    beacon.set_entries_epoch(epoch_);
    beacon.set_entries_revision(revision_);
    const bool whole_list = epoch != epoch_ || revision < forgotten_revision_ || revision == 0;
    beacon.set_all_entries(whole_list);
    if (!whole_list && revision >= revision_)
        return;
    for (const std::pair<const std::string, known_entry>& named_entry : entries_) {
        const known_entry& known = named_entry.second;
        if (!whole_list && known.changed_revision <= revision)
            continue;
        if (known.lost) {
            if (!whole_list)
                beacon.add_lost_entries(named_entry.first);
            continue;
        }
        schema::entry_hello* heartbeat = beacon.add_entries();
        heartbeat->set_entry(named_entry.first);
        heartbeat->set_incarnation(known.heartbeat.incarnation());
        heartbeat->set_peer_address(known.heartbeat.peer_address());
        heartbeat->set_zone(known.heartbeat.zone());
        heartbeat->set_draining(known.heartbeat.draining());
        heartbeat->set_age_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(now - known.last_seen).count()));
    }
}

bool roster_copy::follow(const peer_address& source) {
    if (source == source_)
        return false;
    source_ = source;
    epoch_ = 0;
    revision_ = 0;
    return true;
}

void roster_copy::write(schema::entry_hello& heartbeat) const {
    heartbeat.set_entries_epoch(epoch_);
    heartbeat.set_entries_revision(revision_);
}

bool roster_copy::apply_beacon(const peer_address& keeper, const schema::keeper_beacon& beacon) {
    if (keeper != source_ || beacon.entries_revision() == 0)
        return false;
    // A beacon that arrives out of order must not undo the changes of a newer one.
    const bool other_list = beacon.entries_epoch() != epoch_;
    if (!other_list && beacon.entries_revision() < revision_)
        return false;
    if (other_list && !beacon.all_entries())
        return false;
    epoch_ = beacon.entries_epoch();
    revision_ = beacon.entries_revision();
    if (beacon.all_entries())
        entries_.clear();
    for (const schema::entry_hello& heartbeat : beacon.entries()) {
        if (heartbeat.entry() != self_)
            entries_[entry_id(heartbeat.entry())] = heartbeat;
    }
    for (const std::string& name : beacon.lost_entries())
        entries_.erase(entry_id(name));
    return beacon.all_entries() || beacon.entries_size() > 0 || beacon.lost_entries_size() > 0;
}

} // namespace cassia::membership
