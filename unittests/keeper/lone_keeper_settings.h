/// Settings of a keeper that is alone in its control group.
#pragma once

#include "cassia/keeper/service.h"

#include <cstdlib>
#include <string>

namespace cassia {

/// \param ip of the keeper; its data goes to a new folder.
inline schema::keeper_settings make_lone_keeper_settings(const std::string& ip) {
    std::string folder = "/tmp/cassia-lone-keeper-XXXXXX";
    schema::keeper_settings settings;
    settings.set_name("keeper");
    settings.set_zone("z1");
    settings.set_data_dir(mkdtemp(folder.data()));
    settings.set_peer_address(ip + ":9100");
    settings.set_groups("control");
    settings.mutable_cluster()->set_security("none");
    settings.mutable_cluster()->set_work_groups(1);
    settings.mutable_cluster()->add_seed(ip + ":9000");
    return settings;
}

} // namespace cassia
