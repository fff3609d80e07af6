#include "cassia/policy/slot_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cassia::policy {

namespace {
// Gateways report their usage several times a second; one that has been silent for this long has
// failed, and its requests have ended.
constexpr milliseconds remote_usage_timeout(1500);
// Suspension of an endpoint that failed, doubled with each consecutive failure.
constexpr milliseconds first_suspension(250);
constexpr milliseconds max_suspension(4000);
constexpr std::uint32_t max_doublings = 5;
// Each gateway may have one request at an endpoint on trial; those of more gateways would fill it.
constexpr std::uint32_t large_fleet = 20;
// How long after its suspension an endpoint is reported as suspected in a large fleet. Without a
// limit an endpoint was lost to all others for as long as the gateways at which it had failed had
// no request to try there.
constexpr milliseconds suspicion_time(2000);
// Until then an endpoint that has crashed is replaced or no longer listed. It may be wrong, so it
// ends.
constexpr milliseconds crash_suspension(5000);
// An endpoint that rejected a request counts as full for this long, doubled with each further
// rejection. Slots become free all the time, so the longest is short compared with the time that
// callers wait.
constexpr milliseconds first_full_time(100);
constexpr milliseconds max_full_time(400);
} // namespace

// Another writer may give a process an address at which it doesn't run, for some seconds. Its
// record at its own address is kept meanwhile, so that failures elsewhere neither count for it nor
// hide its own.
void slot_table::keep_failures(endpoint_state& next, const endpoint_state& before) {
    failure_record& record = next;
    const failure_record& record_before = before;
    if (next.info.address == before.info.address) {
        record = record_before;
        next.former_address = before.former_address;
        next.former_record = before.former_record;
        return;
    }
    if (next.info.address == before.former_address)
        record = before.former_record;
    next.former_address = before.info.address;
    next.former_record = record_before;
}

void slot_table::set_endpoints(const std::vector<slot_endpoint>& endpoints) {
    std::map<endpoint_id, endpoint_state> next;
    std::map<endpoint_id, service_id> services;
    for (const slot_endpoint& one : endpoints) {
        services[one.id] = one.service;
        endpoint_state& known = next[one.id];
        known.info = one;
        auto before = endpoints_.find(one.id);
        const bool same =
            before != endpoints_.end() && before->second.info.incarnation == one.incarnation;
        if (same)
            keep_failures(known, before->second);
    }
    endpoints_ = std::move(next);
    pace_.set_endpoints(services);
}

void add_usage(slot_usage_map& sum, const slot_usage_map& usage) {
    for (const std::pair<const endpoint_id, slot_usage>& one : usage) {
        if (one.second == slot_usage())
            continue;
        slot_usage& total = sum[one.first];
        total.online += one.second.online;
        total.batch += one.second.batch;
        total.suspected_by += one.second.suspected_by;
        total.tokens += one.second.tokens;
    }
}

void subtract_usage(slot_usage_map& sum, const slot_usage_map& usage) {
    for (const std::pair<const endpoint_id, slot_usage>& one : usage) {
        if (one.second == slot_usage())
            continue;
        auto found = sum.find(one.first);
        assert(found != sum.end() && "only what was added is subtracted");
        slot_usage& total = found->second;
        total.online -= one.second.online;
        total.batch -= one.second.batch;
        total.suspected_by -= one.second.suspected_by;
        total.tokens -= one.second.tokens;
        if (total == slot_usage())
            sum.erase(found);
    }
}

void slot_table::set_remote_usage(const entry_id& gateway, slot_usage_map usage, instant now) {
    remote_usage& other = remote_[gateway];
    subtract_usage(remote_total_, other.usage);
    add_usage(remote_total_, usage);
    other = {std::move(usage), now};
}

void slot_table::expire_remote_usage(instant now) {
    forecast_.advance(now);
    advanced_at_ = now;
    memory_.advance(count_in_flight(), now);
    for (auto one = remote_.begin(); one != remote_.end();) {
        const bool silent = now - one->second.received_at > remote_usage_timeout;
        if (silent)
            subtract_usage(remote_total_, one->second.usage);
        one = silent ? remote_.erase(one) : std::next(one);
    }
}

static std::uint32_t& count_of(slot_usage& use, work_kind kind) {
    return kind == work_kind::online ? use.online : use.batch;
}

void slot_table::acquire(const endpoint_id& endpoint, work_kind kind, std::uint64_t tokens) {
    forecast_.record_send();
    slot_usage& use = own_[endpoint];
    ++count_of(use, kind);
    use.tokens += tokens;
    auto found = endpoints_.find(endpoint);
    if (tokens == 0 || found == endpoints_.end())
        return;
    // Other gateways know of large requests by their reservations.
    const slot_endpoint& info = found->second.info;
    if (endpoint_memory::is_large(memory_limit(info.service), info.slots, tokens))
        memory_.take(info.service, kind, endpoint);
    else
        memory_.record_send(info.service, tokens);
}

void slot_table::release(const endpoint_id& endpoint, work_kind kind, std::uint64_t tokens) {
    auto found = own_.find(endpoint);
    if (found == own_.end() || count_of(found->second, kind) == 0)
        return;
    --count_of(found->second, kind);
    found->second.tokens -= std::min(found->second.tokens, tokens);
    if (found->second.online == 0 && found->second.batch == 0)
        own_.erase(found);
}

milliseconds slot_table::record_failure(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return milliseconds(0);
    endpoint_state& known = found->second;
    ++known.failures;
    const std::uint32_t doublings = std::min(known.failures - 1, max_doublings);
    const milliseconds pause = std::min(max_suspension, first_suspension * (1U << doublings));
    known.suspended_until = std::max(known.suspended_until, now + pause);
    known.suspected_until = known.suspended_until + suspicion_time;
    return pause;
}

void slot_table::record_crash(const endpoint_id& endpoint, std::uint64_t incarnation, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || found->second.info.incarnation != incarnation)
        return;
    found->second.suspended_until = now + crash_suspension;
    found->second.suspected_until = found->second.suspended_until + suspicion_time;
    ++found->second.failures;
}

bool slot_table::is_large_fleet() const {
    return all_peers_.gateways >= large_fleet;
}

bool slot_table::counts_as_full(const endpoint_state& endpoint, instant now) {
    return now < endpoint.rejected_at + endpoint.full_time;
}

void slot_table::record_rejection(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    // Requests sent before the first rejection arrived say nothing new.
    if (found == endpoints_.end() || counts_as_full(found->second, now))
        return;
    endpoint_state& known = found->second;
    const std::uint32_t doublings = std::min(known.rejections, max_doublings);
    known.full_time = std::min(max_full_time, first_full_time * (1U << doublings));
    known.rejected_at = now;
    ++known.rejections;
}

void slot_table::record_success(const endpoint_id& endpoint) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    found->second.failures = 0;
    found->second.suspended_until = instant();
    found->second.stalled = false;
    // The request may have been accepted before the rejection: the shortest time remains.
    found->second.rejections = 0;
    found->second.full_time = std::min(found->second.full_time, first_full_time);
}

milliseconds slot_table::record_stall(const endpoint_id& endpoint, instant now) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return milliseconds(0);
    if (std::exchange(found->second.stalled, true))
        return record_failure(endpoint, now);
    return milliseconds(0);
}

void slot_table::record_progress(const endpoint_id& endpoint) {
    auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        found->second.stalled = false;
}

slot_usage_map slot_table::own_usage() const {
    slot_usage_map usage = own_;
    for (const std::pair<const endpoint_id, endpoint_state>& one : endpoints_) {
        const bool expired = is_large_fleet() && advanced_at_ >= one.second.suspected_until;
        if (one.second.failures > 0 && !expired)
            usage[one.first].suspected_by = 1;
    }
    for (const auto& reservation : memory_.reservations())
        usage[reservation.second.endpoint].tokens += reservation.second.tokens;
    return usage;
}

std::uint32_t slot_table::remote_suspicions(const endpoint_id& endpoint) const {
    auto found = remote_total_.find(endpoint);
    return found == remote_total_.end() ? 0 : found->second.suspected_by;
}

slot_usage slot_table::total_use(const endpoint_id& endpoint) const {
    slot_usage total;
    auto own = own_.find(endpoint);
    if (own != own_.end())
        total = own->second;
    auto others = remote_total_.find(endpoint);
    if (others != remote_total_.end()) {
        total.online += others->second.online;
        total.batch += others->second.batch;
    }
    return total;
}

bool slot_table::is_full(const endpoint_id& endpoint) const {
    auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() || in_use(endpoint) >= found->second.info.slots;
}

std::uint32_t slot_table::in_use(const endpoint_id& endpoint) const {
    const slot_usage use = total_use(endpoint);
    return use.online + use.batch;
}

std::optional<entry_id> slot_table::batch_holder(const endpoint_id& endpoint) const {
    auto own = own_.find(endpoint);
    if (own != own_.end() && own->second.batch > 0)
        return entry_id();
    for (const std::pair<const entry_id, remote_usage>& other : remote_) {
        auto use = other.second.usage.find(endpoint);
        if (use != other.second.usage.end() && use->second.batch > 0)
            return other.first;
    }
    return std::nullopt;
}

std::optional<entry_id> slot_table::batch_holder_if_full(const endpoint_id& endpoint) const {
    return is_full(endpoint) ? batch_holder(endpoint) : std::nullopt;
}

std::uint32_t slot_table::reserve_free_slots(const endpoint_id& endpoint) {
    auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return 0;
    const slot_usage use = total_use(endpoint);
    const std::uint32_t taken = use.online + use.batch;
    const std::uint32_t slots = found->second.info.slots;
    const std::uint32_t reserved = slots > taken ? slots - taken : 0;
    if (reserved > 0)
        own_[endpoint].online += reserved;
    return reserved;
}

} // namespace cassia::policy
