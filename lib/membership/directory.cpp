#include "cassia/membership/directory.h"

#include <algorithm>
#include <iterator>

namespace cassia::membership {

static bool differs(const schema::endpoint_record& a, const schema::endpoint_record& b) {
    schema::endpoint_record left = a;
    schema::endpoint_record right = b;
    left.clear_load();
    right.clear_load();
    left.clear_age_ms();
    right.clear_age_ms();
    return left.SerializeAsString() != right.SerializeAsString();
}

bool directory::announced(const schema::endpoint_record& record, instant now) {
    const bool changed = merge(record, now);
    auto found = endpoints_.find(endpoint_id(record.id()));
    if (found->second.record.incarnation() == record.incarnation())
        found->second.own_heard = now;
    return changed;
}

bool directory::told(const schema::endpoint_record& record, instant now) {
    return merge(record, now - milliseconds(record.age_ms()));
}

bool directory::merge(const schema::endpoint_record& record, instant heard) {
    const endpoint_id id(record.id());
    auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        endpoints_[id] = {record, heard, instant(), record.leaving()};
        return true;
    }
    endpoint_entry& known = found->second;
    if (record.incarnation() < known.record.incarnation())
        return false;
    if (record.incarnation() > known.record.incarnation()) {
        known = {record, heard, instant(), record.leaving()};
        return true;
    }
    // Leaving holds for the whole incarnation: an announcement from before it, which took a slower
    // way, would otherwise bring new work to an endpoint that is about to go.
    const bool starts_leaving = record.leaving() && !known.leaving;
    known.leaving = known.leaving || record.leaving();
    if (heard <= known.heard)
        return starts_leaving;
    const bool changed = starts_leaving || differs(record, known.record);
    known.record = record;
    known.heard = heard;
    return changed;
}

std::vector<const endpoint_entry*> directory::serving(instant now) const {
    std::vector<const endpoint_entry*> out;
    for (const std::pair<const endpoint_id, endpoint_entry>& one : endpoints_) {
        if (!one.second.leaving && now - one.second.heard < settings_.silent_after)
            out.push_back(&one.second);
    }
    return out;
}

std::vector<schema::endpoint_record> directory::own_records(instant now) const {
    std::vector<schema::endpoint_record> out;
    for (const std::pair<const endpoint_id, endpoint_entry>& one : endpoints_) {
        const microseconds age = now - one.second.own_heard;
        if (age >= settings_.silent_after)
            continue;
        schema::endpoint_record record = one.second.record;
        record.set_leaving(one.second.leaving);
        record.set_age_ms(
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()));
        out.push_back(std::move(record));
    }
    return out;
}

void directory::forget_old(instant now) {
    for (auto one = endpoints_.begin(); one != endpoints_.end();) {
        const bool old = now - one->second.heard > settings_.forget_after;
        one = old ? endpoints_.erase(one) : std::next(one);
    }
}

} // namespace cassia::membership
