#include "cassia/membership/endpoint_directory.h"

#include <algorithm>
#include <iterator>

namespace cassia::membership {

static bool differs_besides_load(const schema::endpoint_record& a,
                                 const schema::endpoint_record& b) {
    schema::endpoint_record left = a;
    schema::endpoint_record right = b;
    left.clear_load();
    right.clear_load();
    left.clear_age_ms();
    right.clear_age_ms();
    left.clear_sequence();
    right.clear_sequence();
    return left.SerializeAsString() != right.SerializeAsString();
}

bool endpoint_directory::merge_announcement(const schema::endpoint_record& record, instant now) {
    const bool changed = merge(record, now);
    auto found = endpoints_.find(endpoint_id(record.id()));
    if (found->second.record.incarnation() == record.incarnation())
        found->second.last_heard_directly = now;
    return changed;
}

bool endpoint_directory::merge_remote(const schema::endpoint_record& record, instant now) {
    return merge(record, now - milliseconds(record.age_ms()));
}

void endpoint_directory::store(endpoint_state& endpoint, const schema::endpoint_record& record,
                               instant heard) {
    endpoint.record = record;
    endpoint.last_heard = heard;
    endpoint.heard_revision = ++revision_;
}

void endpoint_directory::note_change(endpoint_state& endpoint) {
    endpoint.changed_revision = ++revision_;
    changed_revision_ = revision_;
    ++changes_;
}

static std::uint32_t ms_between(instant from, instant to) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(to - from).count());
}

// A later process can reuse the address of an earlier one. Without this, a delayed announcement of
// the earlier process would list both endpoints at that address, and requests for one would reach
// the other.
void endpoint_directory::retire_replaced_endpoints(const schema::endpoint_record& record) {
    for (std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        const schema::endpoint_record& other = known.second.record;
        const bool replaced = other.address() == record.address() && other.id() != record.id() &&
                              other.incarnation() < record.incarnation() && !other.gone();
        if (!replaced)
            continue;
        known.second.leaving = true;
        known.second.record.set_gone(true);
        note_change(known.second);
    }
}

static bool is_replaced(const std::map<endpoint_id, endpoint_state>& endpoints,
                        const schema::endpoint_record& record) {
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&record](const std::pair<const endpoint_id, endpoint_state>& known) {
                           const schema::endpoint_record& other = known.second.record;
                           return other.address() == record.address() &&
                                  other.id() != record.id() &&
                                  other.incarnation() > record.incarnation();
                       });
}

bool endpoint_directory::merge(const schema::endpoint_record& record, instant heard) {
    const endpoint_id id(record.id());
    auto found = endpoints_.find(id);
    const bool newer =
        found == endpoints_.end() || record.incarnation() > found->second.record.incarnation();
    if (newer) {
        endpoint_state added;
        store(added, record, heard);
        const bool replaced = is_replaced(endpoints_, record);
        added.leaving = record.leaving() || record.gone() || replaced;
        added.record.set_gone(record.gone() || replaced);
        note_change(added);
        endpoints_[id] = std::move(added);
        retire_replaced_endpoints(record);
        return true;
    }
    endpoint_state& known = found->second;
    if (record.incarnation() < known.record.incarnation())
        return false;
    // Leaving is final for an incarnation. Otherwise an earlier announcement that arrives late, by
    // way of another process, would send new work to an endpoint that is about to stop.
    const bool leaves = record.leaving() || record.gone();
    const bool starts_leaving = leaves && !known.leaving;
    known.leaving = known.leaving || leaves;
    const bool gone = known.record.gone() || record.gone();
    if (starts_leaving || gone != known.record.gone())
        note_change(known);
    known.record.set_gone(gone);
    // An announcement out of order doesn't prove that the endpoint is still alive.
    const bool outdated = record.sequence() < known.record.sequence();
    if (heard <= known.last_heard || outdated)
        return starts_leaving;
    const bool changed = differs_besides_load(record, known.record);
    store(known, record, heard);
    known.record.set_gone(gone);
    if (changed)
        note_change(known);
    return starts_leaving || changed;
}

// Nearly all announcements repeat the previous one. Forwarding the whole records of 60 endpoints
// kept every gateway and keeper of a large cluster busy, so only a liveness report is sent for
// these. If the record isn't known here, the same message contains it.
void endpoint_directory::merge_remote(const schema::endpoint_pulse& pulse, instant now) {
    auto found = endpoints_.find(endpoint_id(pulse.id()));
    if (found == endpoints_.end())
        return;
    endpoint_state& known = found->second;
    const instant heard = now - milliseconds(pulse.age_ms());
    const bool newer = pulse.incarnation() == known.record.incarnation() &&
                       pulse.sequence() >= known.record.sequence() && heard > known.last_heard;
    if (!newer)
        return;
    known.record.set_sequence(pulse.sequence());
    known.last_heard = heard;
    known.heard_revision = ++revision_;
}

bool endpoint_directory::any_unresponsive_for(milliseconds timeout, instant now) const {
    const std::vector<const endpoint_state*> in_service = serving(now);
    return std::any_of(in_service.begin(), in_service.end(),
                       [timeout, now](const endpoint_state* endpoint) {
                           return now - endpoint->last_heard > timeout;
                       });
}

google::protobuf::RepeatedPtrField<schema::endpoint_pulse>
endpoint_directory::pulses_since(std::uint64_t revision, instant now) const {
    google::protobuf::RepeatedPtrField<schema::endpoint_pulse> out;
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        if (known.second.changed_revision > revision || known.second.heard_revision <= revision)
            continue;
        schema::endpoint_pulse* pulse = out.Add();
        pulse->set_id(known.first.str());
        pulse->set_incarnation(known.second.record.incarnation());
        pulse->set_sequence(known.second.record.sequence());
        pulse->set_age_ms(ms_between(known.second.last_heard, now));
    }
    return out;
}

std::vector<const endpoint_state*> endpoint_directory::serving(instant now) const {
    std::vector<const endpoint_state*> out;
    out.reserve(endpoints_.size());
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        if (!known.second.leaving && now - known.second.last_heard < settings_.unresponsive_after)
            out.push_back(&known.second);
    }
    return out;
}

std::vector<schema::endpoint_record> endpoint_directory::directly_heard_records(instant now) const {
    std::vector<schema::endpoint_record> out;
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        const microseconds age = now - known.second.last_heard_directly;
        if (age >= settings_.unresponsive_after)
            continue;
        schema::endpoint_record record = known.second.record;
        record.set_leaving(known.second.leaving);
        record.set_age_ms(ms_between(known.second.last_heard_directly, now));
        out.push_back(std::move(record));
    }
    return out;
}

std::vector<schema::endpoint_record> endpoint_directory::records_since(std::uint64_t revision,
                                                                       instant now) const {
    std::vector<schema::endpoint_record> out;
    if (changed_revision_ <= revision)
        return out;
    for (const std::pair<const endpoint_id, endpoint_state>& known : endpoints_) {
        if (known.second.changed_revision <= revision)
            continue;
        schema::endpoint_record record = known.second.record;
        record.set_leaving(known.second.leaving);
        record.set_age_ms(ms_between(known.second.last_heard, now));
        out.push_back(std::move(record));
    }
    return out;
}

void endpoint_directory::forget_old(instant now) {
    for (auto known = endpoints_.begin(); known != endpoints_.end();) {
        const bool expired = now - known->second.last_heard > settings_.forget_after;
        known = expired ? endpoints_.erase(known) : std::next(known);
    }
}

} // namespace cassia::membership
