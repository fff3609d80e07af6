/// An entry: its three tasks, wired together.
#pragma once

#include "cassia/entry/batch_task.h"
#include "cassia/entry/control_task.h"
#include "cassia/entry/http_task.h"
#include "cassia/schema/settings.pb.h"

#include <string>

namespace cassia::entry {

class service {
public:
    explicit service(const schema::entry_settings& settings);

    /// Opens the sockets. \returns an empty string or what went wrong.
    std::string open();
    /// Serves until drained.
    void run();

private:
    control_task control_;
    front_task front_;
    batch_task batch_;
};

} // namespace cassia::entry
