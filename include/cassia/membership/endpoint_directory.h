/// Which endpoints live, from announcements to any entry and what entries tell each other. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <map>
#include <string>
#include <vector>

namespace cassia::membership {

struct endpoint_directory_settings {
    milliseconds silent_after{3000}; ///< no announcement: no new work
    milliseconds forget_after{60000};
};

/// An endpoint as last announced.
struct endpoint_state {
    schema::endpoint_record record;
    instant last_heard{};         ///< when it last announced itself to any entry
    instant own_heard{};          ///< when it last announced itself to this one
    bool leaving = false;         ///< once set it holds for the incarnation
    std::uint64_t changed_at = 0; ///< revision of the directory when more than its load changed
    std::uint64_t heard_at = 0;   ///< revision of the directory when it was last heard
};

class endpoint_directory {
public:
    explicit endpoint_directory(endpoint_directory_settings settings) : settings_(settings) {}

    /// The endpoint announced itself to this entry. \returns whether anything but its load changed.
    bool merge_announcement(const schema::endpoint_record& record, instant now);
    /// Another entry heard the endpoint, `record.age_ms` before it sent this.
    bool merge_remote(const schema::endpoint_record& record, instant now);
    /// Another entry heard the endpoint again, `pulse.age_ms` before it sent this.
    void merge_remote(const schema::endpoint_pulse& pulse, instant now);

    /// Endpoints that may get new work.
    std::vector<const endpoint_state*> serving(instant now) const;
    /// What this entry heard itself, with ages, to tell the others.
    std::vector<schema::endpoint_record> directly_heard_records(instant now) const;
    const std::map<endpoint_id, endpoint_state>& all() const { return endpoints_; }
    /// Counts up with each change of an entry, and each time that one is heard.
    std::uint64_t revision() const { return revision_; }
    /// Counts up with changes only.
    std::uint64_t changes() const { return changes_; }
    /// Whether an endpoint that may get work was last heard longer ago than this.
    bool misses_any(milliseconds silence, instant now) const;
    /// Endpoints that were heard behind a revision and didn't change, with ages.
    std::vector<schema::endpoint_pulse> pulses_since(std::uint64_t revision, instant now) const;
    /// Records that changed behind a revision, with ages.
    std::vector<schema::endpoint_record> records_since(std::uint64_t revision, instant now) const;

    void forget_old(instant now);

private:
    bool merge(const schema::endpoint_record& record, instant heard);
    void store(endpoint_state& entry, const schema::endpoint_record& record, instant heard);
    void note_change(endpoint_state& entry);
    void end_predecessors(const schema::endpoint_record& record);

    endpoint_directory_settings settings_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::uint64_t revision_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace cassia::membership
