/// Known endpoints and whether they are alive, from the announcements that this process receives
/// and from those that other processes forward. What is out of all bounds (endpoint_bounds.h)
/// changes nothing, whoever reports it. Does no I/O; the time is passed in.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/membership/announcement_run.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::membership {

struct endpoint_directory_settings {
    milliseconds unresponsive_after{3000}; ///< time without an announcement until new work stops
    milliseconds forget_after{60000};      ///< time without an announcement until removal
};

/// A record of an endpoint that isn't believed, and what speaks for it.
struct endpoint_contender {
    schema::endpoint_record record;
    announcement_run run;
};

/// An endpoint with its latest announcement.
struct endpoint_state {
    schema::endpoint_record record;
    instant last_heard{};            ///< time of its latest announcement to any process
    instant last_heard_directly{};   ///< time of its latest announcement to this process
    bool leaving = false;            ///< takes no new work; final for the incarnation
    bool unresponsive = false;       ///< judged by this process; see mark_unresponsive()
    bool vouched = false;            ///< alive as judged by the process that reports it
    bool listed = false;             ///< reported by the process that is followed now
    bool replaced = false;           ///< a process with a higher incarnation has its address
    announcement_run since_replaced; ///< what speaks against that
    instant reinstated_at{};         ///< when it outlasted what had outranked it
    std::uint64_t outlasted = 0;     ///< highest incarnation that it has outlasted
    std::set<std::uint64_t> left;    ///< other incarnations that left, which is final
    std::optional<endpoint_contender> contender;
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
    /// Adopts records of merge_judged() that waited until what was known before had been silent for
    /// `unresponsive_after`. Has to be called with each list.
    void adopt_waiting(instant now);
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
    /// Counts the endpoints of a version as changed, so that they are reported again.
    void renew(const service_id& service, const software_version& version);
    /// Records that changed after a revision, in the order of their changes, with ages.
    std::vector<schema::endpoint_record> records_since(std::uint64_t revision, instant now) const;

    /// Removes endpoints without an announcement for `forget_after`.
    void forget_old(instant now);

private:
    using endpoint_map = std::map<endpoint_id, endpoint_state>;

    bool merge(const schema::endpoint_record& record, instant heard, instant now);
    bool merge_same_incarnation(endpoint_state& known, const schema::endpoint_record& record,
                                instant heard, instant now);
    /// Counts an announcement that ranks below what is known. \returns whether it is believed now.
    bool contend(const endpoint_id& id, const schema::endpoint_record& record, instant heard,
                 instant now);
    /// Whether a record of a higher incarnation says nothing new about an endpoint that is alive.
    bool is_old_report(const endpoint_state& known, const schema::endpoint_record& record,
                       instant heard, instant now) const;
    /// Makes the record that of the endpoint, whatever is known of it.
    endpoint_state& replace(const schema::endpoint_record& record, instant heard, instant now);
    void store(endpoint_state& endpoint, const schema::endpoint_record& record, instant heard);
    void note_change(const endpoint_id& id, endpoint_state& endpoint);
    bool note_responsive(const endpoint_id& id, endpoint_state& endpoint);
    /// Counts an announcement of a replaced endpoint. \returns whether it is believed now.
    bool note_reinstated(const endpoint_id& id, endpoint_state& endpoint);
    void mark_replaced_endpoints(const schema::endpoint_record& record, instant heard, instant now);
    /// Endpoints with a higher incarnation at this one's address.
    std::vector<const endpoint_state*> successors(const schema::endpoint_record& record) const;
    static void note_left(endpoint_state& endpoint, std::uint64_t incarnation);
    /// Whether an incarnation below the known one may be believed again.
    static bool may_return(const endpoint_state& endpoint, std::uint64_t incarnation);
    bool is_alive(const endpoint_state& endpoint, instant now) const;
    /// Whether the address is that of a later process, as far as known here.
    bool is_replaced(const endpoint_state& endpoint, instant now) const;
    void forget_address(const schema::endpoint_record& record);

    endpoint_directory_settings settings_;
    endpoint_map endpoints_;
    std::set<endpoint_id> waiting_; ///< with a contender for adopt_waiting()
    std::uint64_t revision_ = 0;
    std::map<std::uint64_t, endpoint_id> by_changed_revision_;
    std::map<std::string, std::set<endpoint_id>> by_address_;
    instant marked_at_{};       ///< last call of mark_unresponsive()
    instant observing_since_{}; ///< since when announcements are received without a gap
    std::uint64_t changes_ = 0;
};

} // namespace cassia::membership
