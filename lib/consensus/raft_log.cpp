#include "cassia/consensus/raft_log.h"

#include "cassia/schema/messages.pb.h"

#include <cassert>

namespace cassia::consensus {

member_list members_from_proto(const schema::group_members& proto) {
    member_list members;
    for (const schema::group_member& group_member : proto.members())
        members.push_back({disk_id(group_member.disk()), group_member.node(),
                           group_member.address(), group_member.voter()});
    return members;
}

schema::group_members members_to_proto(const member_list& members) {
    schema::group_members proto;
    for (const member& source : members) {
        schema::group_member* added = proto.add_members();
        added->set_disk(source.disk.value());
        added->set_node(source.node);
        added->set_address(source.address);
        added->set_voter(source.voter);
    }
    return proto;
}

raft_log::raft_log(log_base base) : base_(std::move(base)) {}

term_number raft_log::last_term() const {
    return term_at(last_index());
}

term_number raft_log::term_at(std::uint64_t index) const {
    assert(index >= base_.index && index <= last_index() && "no log entry with this index");
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
    assert(index > base_.index && index <= last_index() && "no log entry with this index");
    return entries_[index - base_.index - 1];
}

void raft_log::append(log_entry_ptr entry) {
    assert(entry->index() == last_index() + 1 && "log entries must be consecutive");
    if (entry->kind() == schema::log_entry::members) {
        schema::group_members members;
        members.ParseFromString(entry->payload());
        membership_changes_.emplace_back(entry->index(), members_from_proto(members));
    }
    entries_.push_back(std::move(entry));
}

void raft_log::truncate_after(std::uint64_t index) {
    assert(index >= base_.index &&
           "entries that a snapshot covers are committed and can't be removed");
    while (last_index() > index)
        entries_.pop_back();
    while (!membership_changes_.empty() && membership_changes_.back().first > index)
        membership_changes_.pop_back();
}

void raft_log::compact(std::uint64_t index) {
    assert(index >= base_.index && index <= last_index() && "no log entry with this index");
    const term_number term = term_at(index);
    base_.members = members_at(index);
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(index - base_.index));
    base_.index = index;
    base_.term = term;
    while (!membership_changes_.empty() && membership_changes_.front().first <= index)
        membership_changes_.erase(membership_changes_.begin());
}

void raft_log::reset(log_base base) {
    base_ = std::move(base);
    entries_.clear();
    membership_changes_.clear();
}

const member_list& raft_log::members() const {
    return membership_changes_.empty() ? base_.members : membership_changes_.back().second;
}

const member_list& raft_log::members_at(std::uint64_t index) const {
    const member_list* latest = &base_.members;
    for (const std::pair<std::uint64_t, member_list>& change : membership_changes_) {
        if (change.first <= index)
            latest = &change.second;
    }
    return *latest;
}

std::uint64_t raft_log::members_index() const {
    return membership_changes_.empty() ? base_.index : membership_changes_.back().first;
}

} // namespace cassia::consensus
