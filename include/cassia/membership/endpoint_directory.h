/// Known endpoints and whether they are alive, from the announcements that this process receives
/// and from those that other processes forward. Does no I/O; the time is passed in.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassia::membership {

struct endpoint_directory_settings {
    milliseconds unresponsive_after{3000}; ///< time without an announcement until new work stops
    milliseconds forget_after{60000};      ///< time without an announcement until removal
};

/// An endpoint with its latest announcement.
struct endpoint_state {
    schema::endpoint_record record;
    instant last_heard{};               ///< time of its latest announcement to any process
    instant last_heard_directly{};      ///< time of its latest announcement to this process
    bool leaving = false;               ///< takes no new work; final for the incarnation
    bool unresponsive = false;          ///< judged by this process; see mark_unresponsive()
    bool vouched = false;               ///< alive as judged by the process that reports it
    std::uint64_t changed_revision = 0; ///< revision of its last change, except of its load
    std::uint64_t heard_revision = 0;   ///< revision of its latest announcement
};

class endpoint_directory {
public:
    explicit endpoint_directory(endpoint_directory_settings settings) : settings_(settings) {}

    /// Merges an announcement made to this process. \returns whether the endpoint is new, starts to
    /// leave, or changed in anything but its load; the step from leaving to gone isn't reported.
    bool merge_announcement(const schema::endpoint_record& record, instant now);
    /// Merges a record forwarded by another process; `record.age_ms` is the announcement's age.
    /// \returns the same as merge_announcement().
    bool merge_remote(const schema::endpoint_record& record, instant now);
    /// Merges a liveness report: an announcement that repeated a known record. `pulse.age_ms` is
    /// its age. \returns whether the endpoint is responsive again.
    bool merge_remote(const schema::endpoint_pulse& pulse, instant now);
    /// Merges a record of a process that judges by itself whether the endpoint is alive, and
    /// vouches for it until it reports otherwise.
    void merge_judged(const schema::endpoint_record& record, instant now);
    /// The process that vouched is no longer followed: from now on the endpoints are judged by
    /// their age.
    void withdraw_vouches(instant now);
    /// Marks the endpoints without an announcement for `unresponsive_after`, for the processes that
    /// rely on this one. Has to be called often: a process that was suspended knows nothing of the
    /// announcements of that time, and waits anew. \returns whether any was marked.
    bool mark_unresponsive(instant now);

    /// Endpoints that may get new work: alive and not leaving.
    std::vector<const endpoint_state*> serving(instant now) const;
    /// Records announced to this process within `unresponsive_after`, with ages, to forward to
    /// other processes.
    std::vector<schema::endpoint_record> directly_heard_records(instant now) const;
    const std::map<endpoint_id, endpoint_state>& all() const { return endpoints_; }
    /// Directory revision: increases with each change of an endpoint and with each announcement.
    std::uint64_t revision() const { return revision_; }
    /// Number of changes; announcements that change nothing but the load don't count.
    std::uint64_t changes() const { return changes_; }
    /// Whether the latest announcement of any endpoint in service is older than `timeout`.
    bool any_unresponsive_for(milliseconds timeout, instant now) const;
    /// Which announcements are reported to another process.
    enum class pulse_scope {
        all,
        direct, ///< those made to this process
    };
    /// Liveness reports, with ages, of the endpoints announced after a revision without a change.
    google::protobuf::RepeatedPtrField<schema::endpoint_pulse>
    pulses_since(std::uint64_t revision, instant now, pulse_scope scope = pulse_scope::all) const;
    /// Records that changed after a revision, in the order of their changes, with ages.
    std::vector<schema::endpoint_record> records_since(std::uint64_t revision, instant now) const;

    /// Removes endpoints without an announcement for `forget_after`.
    void forget_old(instant now);

private:
    bool merge(const schema::endpoint_record& record, instant heard);
    void store(endpoint_state& endpoint, const schema::endpoint_record& record, instant heard);
    void note_change(const endpoint_id& id, endpoint_state& endpoint);
    bool note_responsive(const endpoint_id& id, endpoint_state& endpoint);
    void retire_replaced_endpoints(const schema::endpoint_record& record);
    /// Whether an endpoint with a higher incarnation has this one's address.
    bool is_replaced(const schema::endpoint_record& record) const;
    void forget_address(const schema::endpoint_record& record);

    endpoint_directory_settings settings_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::uint64_t revision_ = 0;
    std::map<std::uint64_t, endpoint_id> by_changed_revision_;
    std::map<std::string, std::set<endpoint_id>> by_address_;
    instant marked_at_{};       ///< last call of mark_unresponsive()
    instant observing_since_{}; ///< since when announcements are received without a gap
    std::uint64_t changes_ = 0;
};

} // namespace cassia::membership
