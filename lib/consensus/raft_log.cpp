#include "cassia/consensus/raft_log.h"

#include "cassia/schema/messages.pb.h"

#include <cassert>

namespace cassia::consensus {

member_list members_from_proto(const schema::group_members& proto) {
    member_list members;
    for (const schema::group_member& one : proto.members())
        members.push_back({disk_id(one.disk()), one.node(), one.address(), one.voter()});
    return members;
}

schema::group_members members_to_proto(const member_list& members) {
    schema::group_members proto;
    for (const member& one : members) {
        schema::group_member* added = proto.add_members();
        added->set_disk(one.disk.value());
        added->set_node(one.node);
        added->set_address(one.address);
        added->set_voter(one.voter);
    }
    return proto;
}

raft_log::raft_log(log_base base) : base_(std::move(base)) {}

term_number raft_log::last_term() const {
    return term_at(last_index());
}

term_number raft_log::term_at(std::uint64_t index) const {
    assert(index >= base_.index && index <= last_index() && "entry is not in the log");
    if (index == base_.index)
        return base_.term;
    return term_number(at(index)->term());
}

bool raft_log::holds(std::uint64_t index, term_number term) const {
    if (index < base_.index || index > last_index())
        return false;
    return term_at(index) == term;
}

const log_entry_ptr& raft_log::at(std::uint64_t index) const {
    assert(index > base_.index && index <= last_index() && "entry is not in the log");
    return entries_[index - base_.index - 1];
}

void raft_log::append(log_entry_ptr entry) {
    assert(entry->index() == last_index() + 1 && "log entries must be consecutive");
    if (entry->kind() == schema::log_entry::members) {
        schema::group_members named;
        named.ParseFromString(entry->payload());
        changes_.emplace_back(entry->index(), members_from_proto(named));
    }
    entries_.push_back(std::move(entry));
}

void raft_log::truncate_after(std::uint64_t index) {
    assert(index >= base_.index && "a snapshot covers committed entries only");
    while (last_index() > index)
        entries_.pop_back();
    while (!changes_.empty() && changes_.back().first > index)
        changes_.pop_back();
}

void raft_log::compact(std::uint64_t index) {
    assert(index >= base_.index && index <= last_index() && "entry is not in the log");
    const term_number term = term_at(index);
    base_.members = members_at(index);
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(index - base_.index));
    base_.index = index;
    base_.term = term;
    while (!changes_.empty() && changes_.front().first <= index)
        changes_.erase(changes_.begin());
}

void raft_log::reset(log_base base) {
    base_ = std::move(base);
    entries_.clear();
    changes_.clear();
}

const member_list& raft_log::members() const {
    return changes_.empty() ? base_.members : changes_.back().second;
}

const member_list& raft_log::members_at(std::uint64_t index) const {
    const member_list* found = &base_.members;
    for (const std::pair<std::uint64_t, member_list>& change : changes_) {
        if (change.first <= index)
            found = &change.second;
    }
    return *found;
}

std::uint64_t raft_log::members_index() const {
    return changes_.empty() ? base_.index : changes_.back().first;
}

} // namespace cassia::consensus
