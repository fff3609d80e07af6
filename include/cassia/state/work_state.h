/// Replicated state of one work group: batch jobs with their items, and idempotency keys.
///
/// Request and response bodies stay in the write-ahead log: an item holds the position of the
/// record that carries its body or its result. Deterministic: it reads neither a clock nor random
/// numbers.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/state/error.h"
#include "cassia/storage/write_ahead_log.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cassia::schema {
class expire_command;
class holder_lost;
class item_end;
class item_lease;
class item_result;
class items_end;
class job_begin;
class job_cancel;
class job_commit;
class job_image;
class job_items;
class job_sender;
class job_submit;
class job_view;
class key_claim;
class key_finish;
class leased_item;
class stored_answer;
class work_command;
class work_query;
class work_reply;
class work_state_image;
} // namespace cassia::schema

namespace cassia::state {

enum class job_status : std::uint8_t {
    loading, ///< items are still being submitted; not visible to callers
    queued,
    running,
    cancelling, ///< no more items are leased, some are still running
    cancelled,
    completed,
    failed, ///< ended without any completed item
};

const char* job_status_name(job_status status);

struct batch_item {
    std::uint8_t status = 0;          ///< schema::item_status
    std::uint8_t strikes = 0;         ///< endpoint crashes attributed to this item
    std::uint16_t attempts = 0;       ///< leases granted so far
    std::uint16_t service = 0;        ///< index in batch_job::services
    bool repeatable = true;           ///< may run more than once
    std::uint32_t body_ordinal = 0;   ///< index of the body among the items of its record
    std::uint32_t result_ordinal = 0; ///< index of the result or progress in its record
    std::uint64_t custom_id_hash = 0; ///< for lookups by custom id, whose text isn't kept
    std::uint64_t tokens = 0;         ///< prompt plus the longest response allowed
    std::uint32_t failures = 0;       ///< runs that an endpoint ended with an error response
    storage::position body;           ///< record that holds the body
    storage::position result; ///< record of the result or, while unfinished, of saved progress
};

/// Items of a job by state; pending ones aren't counted.
struct job_counts {
    std::uint32_t running = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    std::uint32_t unknown = 0;
    std::uint32_t cancelled = 0;
};

/// Who sent a job, by the routing table of the gateway that accepted it.
struct job_sender {
    team_id team;             ///< that holds the key, also where the route needs none
    std::string key_digest;   ///< SHA-256 of the key, known or not; empty if none was sent
    bool teams_known = false; ///< the table has teams
};

struct batch_job {
    job_id id;
    team_id team;
    std::string host;      ///< host name of a forwarded job's request
    bool has_team = false; ///< false: `team` holds the host name instead
    job_sender sender;
    std::string fingerprint;
    job_status status = job_status::loading;
    std::uint64_t deadline = 0;     ///< Unix ms, 0 for none
    std::uint64_t created = 0;      ///< Unix ms
    std::uint64_t ended = 0;        ///< Unix ms, 0 while the job is unfinished
    std::uint64_t retention_ms = 0; ///< how long the job stays readable after its end
    std::vector<batch_item> items;
    std::uint32_t loaded = 0;                       ///< items received so far while loading
    std::vector<std::string> services;              ///< services named by the items
    std::vector<std::deque<std::uint32_t>> pending; ///< ordinals to lease next, by service
    job_counts counts;
    std::string route;                ///< route of a forwarded job
    std::uint64_t routes_version = 0; ///< of the table that the job was accepted by
    std::string route_prefix;         ///< path prefix of the route in that table
    std::uint64_t abandon_at = 0;     ///< Unix ms from which items may be given up; 0: never
    std::uint32_t max_failures = 0;   ///< failed runs that end an item; 0: the entry decides
    bool listed = false;              ///< results are listed in the order in which items ended
    std::vector<std::uint32_t> ended_order; ///< ordinals in that order; append-only
    std::uint64_t waiting_tokens = 0;       ///< sum over the unfinished items
};

/// Identifies an item: its job and its ordinal in the job.
using item_key = std::pair<job_id, std::uint32_t>;

class work_state {
public:
    /// Reads the serialized command from the log record at a position.
    using record_reader = std::function<storage::result<std::string>(const storage::position&)>;

    work_state();
    ~work_state();
    work_state(work_state&&) noexcept;
    work_state& operator=(work_state&&) noexcept;

    /// \param position of the command's record in the log.
    schema::work_reply apply(const schema::work_command& command,
                             const storage::position& position);

    /// Answers a read-only query. Bodies are read from the log with `read`.
    schema::work_reply query(const schema::work_query& query, const record_reader& read) const;
    /// Adds bodies and saved progress to the leased items of a reply to an item_lease command.
    /// Removes those whose body can't be read. \returns these.
    std::vector<item_key> fill_leased_items(schema::work_reply& reply,
                                            const record_reader& read) const;
    /// Adds the stored response to the reply to a key_claim command, if the key has one.
    result<void> fill_answer(schema::work_reply& reply, const std::string& team,
                             const std::string& key, const record_reader& read) const;

    /// The callers' ids of items, which are cheap to read if they are of one job; empty for those
    /// whose record can't be read.
    std::vector<std::string> custom_ids_of(const std::vector<item_key>& items,
                                           const record_reader& read) const;

    const std::map<job_id, batch_job>& jobs() const { return jobs_; }
    std::size_t key_count() const { return keys_.size(); }
    /// Names (with incarnations) of the entries that hold leases or claims on keys.
    std::vector<std::string> holders() const;
    /// Items leased to a holder.
    std::set<item_key> leases_of(const std::string& holder) const;
    /// Whether an expire command at `now` (Unix ms) would remove anything.
    bool has_expired(std::uint64_t now) const;

    /// Positions of all log records that the state refers to; they must not be deleted.
    std::set<storage::position> referenced_positions() const;
    /// Replaces positions in another member's log by those of the local copies of the records.
    void remap_positions(const std::map<storage::position, storage::position>& new_positions);

    /// Serializes the state for a snapshot; load() restores it.
    std::string save() const;
    static result<work_state> load(const std::string& image);

private:
    enum class key_status : std::uint8_t { running, done, unknown };
    struct idempotency_key {
        std::string fingerprint;
        std::string holder;
        std::string request; ///< id of the request that holds the claim
        bool repeatable = true;
        key_status status = key_status::running;
        std::uint64_t at = 0; ///< time of the claim, later of the finish, in Unix ms
        std::uint64_t retention_ms = 0;
        storage::position response; ///< record of the key_finish command
    };
    static bool is_key_expired(const idempotency_key& key, std::uint64_t now);

    using key_name = std::pair<std::string, std::string>; ///< team and key
    struct key_name_hash {
        std::size_t operator()(const key_name& name) const;
    };

    // Jobs (job_commands.cpp).
    schema::work_reply begin_job(const schema::job_begin& begin);
    schema::work_reply add_items(const schema::job_items& added, const storage::position& position);
    schema::work_reply commit_job(const schema::job_commit& commit);
    schema::work_reply submit_job(const schema::job_submit& submit,
                                  const storage::position& position);
    std::uint64_t waiting_tokens(const std::string& route, const team_id& team) const;
    schema::work_reply cancel_job(const schema::job_cancel& cancel);
    schema::work_reply lease_items(const schema::item_lease& lease);
    schema::work_reply end_items(const schema::items_end& ends, const storage::position& position);
    void end_item(const schema::item_end& end, std::uint32_t end_ordinal, const std::string& holder,
                  const storage::position& position, std::uint64_t now);
    void requeue_or_cancel_item(batch_job& job, std::uint32_t ordinal);
    static void end_leased_item(batch_job& job, std::uint32_t ordinal, std::uint8_t status);
    static void save_progress(batch_item& item, const schema::item_end& end,
                              std::uint32_t end_ordinal, const storage::position& position);
    void finish_job_if_done(batch_job& job, std::uint64_t now);
    void revoke_leases(const std::string& holder, std::uint64_t now);

    // Keys (key_commands.cpp).
    schema::work_reply claim_key(const schema::key_claim& claim);
    schema::work_reply finish_key(const schema::key_finish& finish,
                                  const storage::position& position);
    void revoke_claims(const std::string& holder);

    void expire(std::uint64_t now);
    void load_job(const schema::job_image& image);

    std::map<job_id, batch_job> jobs_;
    std::unordered_map<key_name, idempotency_key, key_name_hash> keys_;
    std::map<std::string, std::set<item_key>> leases_; ///< by holder
};

/// Fills the view of a job that is returned to callers.
void fill_job_view(const batch_job& job, schema::job_view& view);

/// Fingerprint of a job that is submitted as a whole. It covers the names of its items' services.
std::string fingerprint_of(const schema::job_items& items);

job_sender read_job_sender(const schema::job_sender& sender);
void write_job_sender(const job_sender& sender, schema::job_sender& out);

} // namespace cassia::state
