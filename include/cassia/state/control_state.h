/// Replicated state of the control group: the accepted versions of the plans and allowances, the
/// route table, the founding members of the work groups, the keepers being retired, and the counter
/// behind the fencing tokens of operators' orders.
/// Deterministic: members that apply the same commands hold the same state.
#pragma once

#include "cassia/state/error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassia::schema {
class change_command;
class change_record;
class control_command;
class control_reply;
class group_members;
class retire_command;
class route_table;
} // namespace cassia::schema

namespace cassia::state {

class control_state {
public:
    control_state();
    ~control_state();
    control_state(control_state&&) noexcept;
    control_state& operator=(control_state&&) noexcept;

    schema::control_reply apply(const schema::control_command& command);

    std::uint64_t version() const;
    /// The version in force; null before the first change.
    const schema::change_record* current() const;
    /// Accepted versions, oldest first. Only the latest few still hold their plans and allowances.
    const std::vector<schema::change_record>& history() const { return changes_; }

    /// The route table in force; its version is 0 before the first one is applied.
    const schema::route_table& routes() const { return *routes_; }
    /// The founding members of the work groups; empty until they have been decided.
    const schema::group_members& work_founders() const { return *work_founders_; }

    /// Keepers whose group memberships are moved away before their removal, and those removed.
    const std::vector<schema::retire_command>& retiring() const { return retiring_; }
    /// Number of changes of that list.
    std::uint64_t retirements() const;

    /// Serializes the state for a snapshot; load() restores it.
    std::string save() const;
    static result<control_state> load(const std::string& image);

private:
    schema::control_reply apply_change(const schema::change_command& change);
    schema::control_reply apply_routes(const schema::route_table& table);
    schema::control_reply apply_retire(const schema::retire_command& retire);
    schema::control_reply apply_founding(const schema::group_members& founders);
    void trim_history();

    std::vector<schema::change_record> changes_;
    std::map<std::string, std::uint64_t> versions_by_change_id_;
    std::uint64_t fence_ = 0;
    std::unique_ptr<schema::route_table> routes_;
    std::unique_ptr<schema::group_members> work_founders_;
    std::vector<schema::retire_command> retiring_;
};

} // namespace cassia::state
