/// State of the control group: the accepted versions of the two lists, and the fence of orders.
/// Deterministic: every member that applies the same commands holds the same state.
#pragma once

#include "cassia/state/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cassia::schema {
class change_command;
class change_record;
class control_command;
class control_reply;
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
    /// The version in force, or null before the first change.
    const schema::change_record* current() const;
    /// Accepted versions, oldest first; texts are kept for the latest few only.
    const std::vector<schema::change_record>& history() const { return changes_; }

    std::string save() const;
    static result<control_state> load(const std::string& image);

private:
    schema::control_reply apply_change(const schema::change_command& change);
    void trim();

    std::vector<schema::change_record> changes_;
    std::map<std::string, std::uint64_t> versions_by_change_;
    std::uint64_t fence_ = 0;
};

} // namespace cassia::state
