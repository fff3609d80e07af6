/// State of one work group: batch jobs with their items, and idempotency keys.
///
/// Bodies are not in here: an item holds the place of the log record that carries its body or its
/// result. Deterministic: it reads no clock and no randomness.
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
    loading, ///< not all items have come in; invisible to callers
    queued,
    running,
    cancelling, ///< no item starts any more, some still run
    cancelled,
    completed,
    failed, ///< ended without one completed item
};

const char* job_status_name(job_status status);

struct batch_item {
    std::uint8_t status = 0; ///< schema::item_status
    std::uint8_t strikes = 0;
    std::uint16_t attempts = 0;
    std::uint16_t service = 0; ///< place in the job's services
    bool repeatable = true;
    std::uint32_t body_ordinal = 0;   ///< place of the body in its record
    std::uint32_t result_ordinal = 0; ///< place of the result, or progress, in its record
    std::uint64_t custom_hash = 0;    ///< finds items by custom id without keeping the text
    std::uint64_t tokens = 0;         ///< of the prompt and the longest answer
    std::uint32_t failures = 0;       ///< runs that an endpoint answered with a failure
    storage::position body;
    storage::position result; ///< of an item that hasn't ended: its progress
};

struct job_counts {
    std::uint32_t running = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    std::uint32_t unknown = 0;
    std::uint32_t cancelled = 0;
};

struct batch_job {
    job_id id;
    team_id team;
    std::string host;      ///< of a forwarded job
    bool has_team = false; ///< false: `team` is the host
    std::string fingerprint;
    job_status status = job_status::loading;
    std::uint64_t deadline = 0; ///< Unix ms, 0 for none
    std::uint64_t created = 0;
    std::uint64_t ended = 0;
    std::uint64_t retention_ms = 0;
    std::vector<batch_item> items;
    std::uint32_t loaded = 0;
    std::vector<std::string> services;
    std::vector<std::deque<std::uint32_t>> pending; ///< by service
    job_counts counts;
    std::string route;                      ///< of a forwarded job
    std::uint64_t abandon_at = 0;           ///< Unix ms from which items may be given up
    std::uint32_t max_failures = 0;         ///< failed runs that end an item; 0: the entry decides
    bool listed = false;                    ///< keeps the order in which items ended
    std::vector<std::uint32_t> ended_order; ///< ordinals; a place once taken never changes
    std::uint64_t waiting_tokens = 0;       ///< of the items that haven't ended
};

using item_key = std::pair<job_id, std::uint32_t>;

class work_state {
public:
    /// Reads the command that a record of the log carries.
    using record_reader = std::function<storage::result<std::string>(const storage::position&)>;

    work_state();
    ~work_state();
    work_state(work_state&&) noexcept;
    work_state& operator=(work_state&&) noexcept;

    /// \param at where the log keeps this command.
    schema::work_reply apply(const schema::work_command& command, const storage::position& at);

    /// Answers a question of a caller. Bodies are fetched with `read`.
    schema::work_reply query(const schema::work_query& query, const record_reader& read) const;
    /// Completes the reply of a lease with the bodies of the items.
    result<void> fill_leased_items(schema::work_reply& reply, const record_reader& read) const;
    /// Completes the reply of a key claim with the stored answer.
    result<void> fill_answer(schema::work_reply& reply, const std::string& team,
                             const std::string& key, const record_reader& read) const;

    const std::map<job_id, batch_job>& jobs() const { return jobs_; }
    std::size_t key_count() const { return keys_.size(); }
    /// Holders of leases and claims.
    std::vector<std::string> holders() const;
    /// Items that a holder has leased.
    std::set<item_key> leases_of(const std::string& holder) const;
    /// Whether an expire command at this time would remove anything.
    bool has_expired(std::uint64_t at) const;

    /// Records that the state refers to.
    std::set<storage::position> referenced_positions() const;
    /// Replaces the positions by those of a copy in another log.
    void remap_positions(const std::map<storage::position, storage::position>& places);

    std::string save() const;
    static result<work_state> load(const std::string& image);

private:
    enum class key_status : std::uint8_t { running, done, unknown };
    struct idempotency_key {
        std::string fingerprint;
        std::string holder;
        std::string request; ///< of the caller's request that holds the claim
        bool repeatable = true;
        key_status status = key_status::running;
        std::uint64_t at = 0;
        std::uint64_t retention_ms = 0;
        storage::position answer;
    };
    static bool is_key_expired(const idempotency_key& key, std::uint64_t now);

    using key_name = std::pair<std::string, std::string>; ///< team and key
    struct key_name_hash {
        std::size_t operator()(const key_name& name) const;
    };

    // Jobs (job_commands.cpp).
    schema::work_reply begin_job(const schema::job_begin& begin);
    schema::work_reply add_items(const schema::job_items& added, const storage::position& at);
    schema::work_reply commit_job(const schema::job_commit& commit);
    schema::work_reply submit_job(const schema::job_submit& submit, const storage::position& at);
    std::uint64_t waiting_tokens(const std::string& route, const team_id& team) const;
    schema::work_reply cancel_job(const schema::job_cancel& cancel);
    schema::work_reply lease_items(const schema::item_lease& lease);
    schema::work_reply end_items(const schema::items_end& ends, const storage::position& at);
    void end_item(const schema::item_end& end, std::uint32_t place, const std::string& holder,
                  const storage::position& at, std::uint64_t now);
    void give_back(batch_job& job, std::uint32_t ordinal);
    static void keep_progress(batch_item& item, const schema::item_end& end, std::uint32_t place,
                              const storage::position& at);
    void settle(batch_job& job, std::uint64_t now);
    void lose_holder_items(const std::string& holder, std::uint64_t now);

    // Keys (key_commands.cpp).
    schema::work_reply claim_key(const schema::key_claim& claim);
    schema::work_reply finish_key(const schema::key_finish& finish, const storage::position& at);
    void lose_holder_keys(const std::string& holder);

    void expire(std::uint64_t now);
    void load_job(const schema::job_image& image);

    std::map<job_id, batch_job> jobs_;
    std::unordered_map<key_name, idempotency_key, key_name_hash> keys_;
    std::map<std::string, std::set<item_key>> leases_; ///< by holder
};

/// Fills what callers see of a job.
void fill_job_view(const batch_job& job, schema::job_view& view);

} // namespace cassia::state
