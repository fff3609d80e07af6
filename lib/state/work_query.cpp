// Queries for jobs, items and results.

#include "cassia/base/digest.h"
#include "cassia/schema/messages.pb.h"
#include "cassia/state/work_state.h"

#include <algorithm>
#include <optional>

namespace cassia::state {

namespace {

/// Reads commands from the log and caches the last one, since neighbouring items mostly share a
/// command.
class command_cache {
public:
    explicit command_cache(const work_state::record_reader& read) : read_(read) {}

    const schema::work_command* at(const storage::position& position) {
        if (position == position_)
            return &command_;
        storage::result<std::string> record = read_(position);
        if (!record || !command_.ParseFromString(record.value())) {
            position_ = storage::position();
            return nullptr;
        }
        position_ = position;
        return &command_;
    }

private:
    const work_state::record_reader& read_;
    storage::position position_;
    schema::work_command command_;
};

} // namespace

static const schema::item_body* find_body(const batch_item& item, command_cache& bodies) {
    const schema::work_command* command = bodies.at(item.body);
    if (command == nullptr || !(command->has_items() || command->has_submit()))
        return nullptr;
    const schema::job_items& submitted =
        command->has_submit() ? command->submit().items() : command->items();
    if (item.body_ordinal >= static_cast<std::uint32_t>(submitted.items_size()))
        return nullptr;
    return &submitted.items(static_cast<int>(item.body_ordinal));
}

static const schema::item_end* find_end(const batch_item& item, command_cache& results) {
    if (item.result == storage::position())
        return nullptr;
    const schema::work_command* command = results.at(item.result);
    if (command == nullptr || !command->has_ends() ||
        item.result_ordinal >= static_cast<std::uint32_t>(command->ends().ends_size()))
        return nullptr;
    return &command->ends().ends(static_cast<int>(item.result_ordinal));
}

// A cancelled item, or one whose outcome is unknown, has no result, even if progress was saved.
static bool has_result(const batch_item& item) {
    return item.status == schema::completed || item.status == schema::failed;
}

static void write_result(const batch_item& item, std::uint32_t ordinal, command_cache& bodies,
                         command_cache& results, schema::item_result& out) {
    out.set_ordinal(ordinal);
    out.set_status(static_cast<schema::item_status>(item.status));
    out.set_attempts(item.attempts);
    if (const schema::item_body* body = find_body(item, bodies))
        out.set_custom_id(body->custom_id());
    const schema::item_end* end = has_result(item) ? find_end(item, results) : nullptr;
    if (end != nullptr) {
        out.set_http_status(end->http_status());
        out.set_content_type(end->content_type());
        out.set_body(end->body());
    }
}

static void list_results(const batch_job& job, const schema::work_query& query,
                         command_cache& bodies, command_cache& results, schema::work_reply& reply) {
    // Also limited by bytes, so that a single reply doesn't delay the group's other requests.
    constexpr std::size_t max_bytes = 4 << 20;
    std::size_t bytes = 0;
    std::uint32_t added = 0;
    for (std::uint32_t i = query.from(); i < job.items.size(); ++i) {
        const std::uint8_t status = job.items[i].status;
        if (status == schema::pending || status == schema::leased)
            continue;
        if (added >= query.limit() || bytes >= max_bytes)
            return;
        schema::item_result* result = reply.add_results();
        write_result(job.items[i], i, bodies, results, *result);
        bytes += result->ByteSizeLong();
        ++added;
    }
}

// The order in which items ended is part of the state, so a result has the same index for every
// reader.
static void list_results_by_end(const batch_job& job, const schema::work_query& query,
                                command_cache& bodies, command_cache& results,
                                schema::work_reply& reply) {
    constexpr std::size_t max_bytes = 700UL * 1000; // encoded as JSON, the list may grow to 1 MB
    std::size_t bytes = 0;
    for (std::size_t i = query.from(); i < job.ended_order.size() && bytes < max_bytes; ++i) {
        const std::uint32_t ordinal = job.ended_order[i];
        schema::item_result result;
        write_result(job.items[ordinal], ordinal, bodies, results, result);
        bytes += result.ByteSizeLong();
        if (bytes < max_bytes || reply.results_size() == 0)
            *reply.add_results() = std::move(result);
    }
}

static bool is_unfinished(const batch_item& item) {
    return item.status == schema::pending || item.status == schema::leased;
}

static std::optional<std::uint32_t>
find_by_custom_id(const batch_job& job, const std::string& custom_id, command_cache& bodies) {
    const std::uint64_t hash = stable_hash(custom_id);
    for (std::uint32_t i = 0; i < job.items.size(); ++i) {
        if (job.items[i].custom_id_hash != hash)
            continue;
        const schema::item_body* body = find_body(job.items[i], bodies);
        if (body != nullptr && body->custom_id() == custom_id)
            return i;
    }
    return std::nullopt;
}

schema::work_reply work_state::query(const schema::work_query& query,
                                     const record_reader& read) const {
    schema::work_reply reply;
    if (query.kind() == schema::work_query::jobs_of_team) {
        for (const std::pair<const job_id, batch_job>& job : jobs_) {
            const bool owned_by_team = job.second.team.str() == query.team();
            if (owned_by_team && job.second.status != job_status::loading)
                fill_job_view(job.second, *reply.add_jobs());
        }
        return reply;
    }
    auto found = jobs_.find(job_id(query.job()));
    const bool visible = found != jobs_.end() && found->second.status != job_status::loading &&
                         (query.any_owner() || found->second.team.str() == query.team());
    if (!visible) {
        reply.set_result(schema::work_reply::missing);
        return reply;
    }
    const batch_job& job = found->second;
    fill_job_view(job, *reply.mutable_job());
    command_cache bodies(read);
    command_cache results(read);
    if (query.kind() == schema::work_query::results)
        list_results(job, query, bodies, results, reply);
    if (query.kind() == schema::work_query::listed_results)
        list_results_by_end(job, query, bodies, results, reply);
    if (query.kind() == schema::work_query::item_source) {
        const std::optional<std::uint32_t> ordinal =
            find_by_custom_id(job, query.custom_id(), bodies);
        if (!ordinal || !is_unfinished(job.items[*ordinal])) {
            reply.set_result(schema::work_reply::missing);
            return reply;
        }
        *reply.mutable_item() = *find_body(job.items[*ordinal], bodies);
    }
    if (query.kind() == schema::work_query::one_item) {
        const std::optional<std::uint32_t> ordinal =
            find_by_custom_id(job, query.custom_id(), bodies);
        if (!ordinal) {
            reply.set_result(schema::work_reply::missing);
            return reply;
        }
        write_result(job.items[*ordinal], *ordinal, bodies, results, *reply.add_results());
    }
    return reply;
}

std::vector<item_key> work_state::fill_leased_items(schema::work_reply& reply,
                                                    const record_reader& read) const {
    command_cache bodies(read);
    command_cache results(read);
    std::vector<item_key> unreadable;
    schema::work_reply readable;
    for (schema::leased_item& leased : *reply.mutable_leased()) {
        const item_key key{job_id(leased.job()), leased.ordinal()};
        auto found = jobs_.find(key.first);
        const schema::item_body* body =
            found == jobs_.end() ? nullptr : find_body(found->second.items[key.second], bodies);
        if (body == nullptr) {
            unreadable.push_back(key);
            continue;
        }
        *leased.mutable_item() = *body;
        if (const schema::item_end* progress = find_end(found->second.items[key.second], results)) {
            leased.set_progress(progress->body());
            leased.set_events(progress->events());
            *leased.mutable_written_by() = progress->written_by();
        }
        *readable.add_leased() = std::move(leased);
    }
    reply.mutable_leased()->Swap(readable.mutable_leased());
    return unreadable;
}

std::vector<std::string> work_state::custom_ids_of(const std::vector<item_key>& items,
                                                   const record_reader& read) const {
    command_cache bodies(read);
    std::vector<std::string> ids;
    for (const item_key& item : items) {
        auto found = jobs_.find(item.first);
        const schema::item_body* body =
            found == jobs_.end() ? nullptr : find_body(found->second.items.at(item.second), bodies);
        ids.push_back(body == nullptr ? std::string() : body->custom_id());
    }
    return ids;
}

} // namespace cassia::state
