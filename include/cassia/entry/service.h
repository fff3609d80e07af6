/// An entry process: creates its three tasks and connects them.
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

    /// Opens the sockets. \returns an empty string or an error message.
    std::string open();
    /// Serves until drained.
    void run();

private:
    control_task control_;
    http_task http_;
    batch_task batch_;
};

} // namespace cassia::entry
