/// One group's log since its last snapshot, and the members that it names.
#pragma once

#include "cassia/base/ids.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cassia::schema {
class group_members;
class log_entry;
} // namespace cassia::schema

namespace cassia::consensus {

struct member {
    disk_id disk;
    std::string node;
    std::string address;
    bool voter = false;
};

using member_list = std::vector<member>;

member_list members_from_proto(const schema::group_members& proto);
schema::group_members members_to_proto(const member_list& members);

/// Where a log starts: the last entry that a snapshot covers.
struct log_base {
    std::uint64_t index = 0;
    term_number term;
    member_list members;
};

using log_entry_ptr = std::shared_ptr<const schema::log_entry>;

class raft_log {
public:
    explicit raft_log(log_base base);

    std::uint64_t base_index() const { return base_.index; }
    std::uint64_t last_index() const { return base_.index + entries_.size(); }
    term_number last_term() const;
    /// The term of an entry between base_index() and last_index().
    term_number term_at(std::uint64_t index) const;
    bool holds(std::uint64_t index, term_number term) const;
    const log_entry_ptr& at(std::uint64_t index) const;

    /// Adds the entry behind the last one.
    void append(log_entry_ptr entry);
    /// Drops the entries behind `index`.
    void truncate_after(std::uint64_t index);
    /// Forgets the entries up to `index`, which a snapshot covers.
    void compact(std::uint64_t index);
    /// Starts anew from a snapshot that came from the leader.
    void reset(log_base base);

    /// The members in force: the last that the log names, committed or not.
    const member_list& members() const;
    /// The members in force at `index`, which is not below the base.
    const member_list& members_at(std::uint64_t index) const;
    /// Index of the entry that named members(); the base's index if none did.
    std::uint64_t members_index() const;

private:
    log_base base_;
    std::deque<log_entry_ptr> entries_;
    std::vector<std::pair<std::uint64_t, member_list>> changes_;
};

} // namespace cassia::consensus
