// Saves and loads the state of a work group.

#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <algorithm>

namespace cassia::state {

static void write_position(const storage::position& position, schema::record_position& out) {
    out.set_segment(position.segment);
    out.set_offset(position.offset);
}

static storage::position read_position(const schema::record_position& in) {
    return {in.segment(), in.offset()};
}

static void write_item(const batch_item& item, schema::item_image& out) {
    out.set_status(item.status);
    out.set_attempts(item.attempts);
    out.set_strikes(item.strikes);
    write_position(item.body, *out.mutable_body());
    out.set_body_ordinal(item.body_ordinal);
    if (item.result != storage::position())
        write_position(item.result, *out.mutable_result());
    out.set_result_ordinal(item.result_ordinal);
    out.set_repeatable(item.repeatable);
    out.set_custom_hash(item.custom_id_hash);
    out.set_service(item.service);
    out.set_tokens(item.tokens);
    out.set_failures(item.failures);
}

static batch_item read_item(const schema::item_image& in) {
    batch_item item;
    item.status = static_cast<std::uint8_t>(in.status());
    item.attempts = static_cast<std::uint16_t>(in.attempts());
    item.strikes = static_cast<std::uint8_t>(in.strikes());
    item.body = read_position(in.body());
    item.body_ordinal = in.body_ordinal();
    item.result = read_position(in.result());
    item.result_ordinal = in.result_ordinal();
    item.repeatable = in.repeatable();
    item.custom_id_hash = in.custom_hash();
    item.service = static_cast<std::uint16_t>(in.service());
    item.tokens = in.tokens();
    item.failures = in.failures();
    return item;
}

std::string work_state::save() const {
    schema::work_state_image image;
    std::map<item_key, const std::string*> holders;
    for (const std::pair<const std::string, std::set<item_key>>& lease : leases_) {
        for (const item_key& key : lease.second)
            holders[key] = &lease.first;
    }
    for (const std::pair<const job_id, batch_job>& stored_job : jobs_) {
        const batch_job& job = stored_job.second;
        schema::job_image* out = image.add_jobs();
        out->set_job(job.id.str());
        out->set_team(job.team.str());
        out->set_host(job.host);
        out->set_has_team(job.has_team);
        write_job_sender(job.sender, *out->mutable_sender());
        out->set_fingerprint(job.fingerprint);
        out->set_deadline(job.deadline);
        out->set_created(job.created);
        out->set_ended(job.ended);
        out->set_retention_ms(job.retention_ms);
        out->set_status(static_cast<std::uint32_t>(job.status));
        out->set_loaded(job.loaded);
        out->set_route(job.route);
        out->set_routes_version(job.routes_version);
        out->set_route_prefix(job.route_prefix);
        out->set_abandon_at(job.abandon_at);
        out->set_max_failures(job.max_failures);
        out->set_listed(job.listed);
        out->mutable_ended_order()->Add(job.ended_order.begin(), job.ended_order.end());
        for (const std::string& service : job.services)
            out->add_services(service);
        for (std::uint32_t i = 0; i < job.items.size(); ++i) {
            schema::item_image* item = out->add_items();
            write_item(job.items[i], *item);
            auto holder = holders.find({job.id, i});
            if (holder != holders.end())
                item->set_holder(*holder->second);
        }
        // The order of pending items is part of the state: members must lease the same items.
        for (const std::deque<std::uint32_t>& queue : job.pending) {
            schema::pending_image* pending = out->add_pending();
            for (const std::uint32_t ordinal : queue)
                pending->add_ordinals(ordinal);
        }
    }
    // Sorted, so that members that hold the same keys write the same image whatever the order in
    // which the keys were added.
    std::map<key_name, const idempotency_key*> sorted_keys;
    for (const std::pair<const key_name, idempotency_key>& key : keys_)
        sorted_keys[key.first] = &key.second;
    for (const std::pair<const key_name, const idempotency_key*>& sorted_key : sorted_keys) {
        const std::pair<const key_name&, const idempotency_key&> key{sorted_key.first,
                                                                     *sorted_key.second};
        schema::key_image* out = image.add_keys();
        out->set_team(key.first.first);
        out->set_key(key.first.second);
        out->set_fingerprint(key.second.fingerprint);
        out->set_holder(key.second.holder);
        out->set_request(key.second.request);
        out->set_repeatable(key.second.repeatable);
        out->set_status(static_cast<std::uint32_t>(key.second.status));
        out->set_at(key.second.at);
        out->set_retention_ms(key.second.retention_ms);
        write_position(key.second.response, *out->mutable_answer());
    }
    return image.SerializeAsString();
}

static bool is_unfinished(const batch_item& item) {
    return item.status == schema::pending || item.status == schema::leased;
}

static void count_item(batch_job& job, const batch_item& item) {
    switch (item.status) {
    case schema::leased:
        ++job.counts.running;
        break;
    case schema::completed:
        ++job.counts.completed;
        break;
    case schema::failed:
        ++job.counts.failed;
        break;
    case schema::unknown:
        ++job.counts.unknown;
        break;
    case schema::cancelled:
        ++job.counts.cancelled;
        break;
    default:
        break;
    }
}

void work_state::load_job(const schema::job_image& in) {
    batch_job job;
    job.id = job_id(in.job());
    job.team = team_id(in.team());
    job.host = in.host();
    job.has_team = in.has_team();
    job.sender = read_job_sender(in.sender());
    job.fingerprint = in.fingerprint();
    job.deadline = in.deadline();
    job.created = in.created();
    job.ended = in.ended();
    job.retention_ms = in.retention_ms();
    job.status = static_cast<job_status>(in.status());
    job.loaded = in.loaded();
    job.route = in.route();
    job.routes_version = in.routes_version();
    job.route_prefix = in.route_prefix();
    job.abandon_at = in.abandon_at();
    job.max_failures = in.max_failures();
    job.listed = in.listed();
    job.ended_order.assign(in.ended_order().begin(), in.ended_order().end());
    job.services.assign(in.services().begin(), in.services().end());
    for (const schema::pending_image& queue : in.pending())
        job.pending.emplace_back(queue.ordinals().begin(), queue.ordinals().end());
    job.pending.resize(job.services.size());
    job.items.reserve(static_cast<std::size_t>(in.items_size()));
    for (const schema::item_image& item : in.items()) {
        job.items.push_back(read_item(item));
        count_item(job, job.items.back());
        if (is_unfinished(job.items.back()))
            job.waiting_tokens += job.items.back().tokens;
        if (!item.holder().empty())
            leases_[item.holder()].insert(
                {job.id, static_cast<std::uint32_t>(job.items.size() - 1)});
    }
    jobs_[job.id] = std::move(job);
}

// An image with a correct checksum can still be inconsistent if the process that wrote it was
// faulty. Loading it would cause errors far from their cause.
static bool is_consistent(const schema::job_image& in) {
    if (in.loaded() > static_cast<std::uint32_t>(in.items_size()) ||
        in.pending_size() > in.services_size() ||
        in.status() > static_cast<std::uint32_t>(job_status::failed))
        return false;
    for (const std::uint32_t ordinal : in.ended_order()) {
        if (ordinal >= static_cast<std::uint32_t>(in.items_size()))
            return false;
    }
    for (const schema::pending_image& queue : in.pending()) {
        for (const std::uint32_t ordinal : queue.ordinals()) {
            if (ordinal >= static_cast<std::uint32_t>(in.items_size()))
                return false;
        }
    }
    return std::all_of(in.items().begin(), in.items().end(), [&in](const schema::item_image& item) {
        const bool loading = in.status() == static_cast<std::uint32_t>(job_status::loading);
        return item.status() <= schema::cancelled &&
               (loading || item.service() < static_cast<std::uint32_t>(in.services_size()));
    });
}

result<work_state> work_state::load(const std::string& serialized) {
    schema::work_state_image image;
    if (!image.ParseFromString(serialized))
        return failure(error{errc::bad_image, "can't parse the state image of a work group"});
    work_state loaded;
    for (const schema::job_image& job : image.jobs()) {
        if (!is_consistent(job))
            return failure(error{errc::bad_image, "inconsistent state image of job " + job.job()});
        loaded.load_job(job);
    }
    for (const schema::key_image& in : image.keys()) {
        idempotency_key& key = loaded.keys_[{in.team(), in.key()}];
        key.fingerprint = in.fingerprint();
        key.holder = in.holder();
        key.request = in.request();
        key.repeatable = in.repeatable();
        key.status = static_cast<key_status>(in.status());
        key.at = in.at();
        key.retention_ms = in.retention_ms();
        key.response = read_position(in.answer());
    }
    return loaded;
}

} // namespace cassia::state
