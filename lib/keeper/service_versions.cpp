// Software versions that a majority of the control keepers knows: gateways get no endpoint of
// another one for use.

#include "cassia/base/log.h"
#include "cassia/keeper/service.h"
#include "cassia/state/sharding.h"

namespace cassia::keeper {

namespace {
using state::control_group;
} // namespace

// The other keepers get the news at once: no gateway uses a new version before they reply.
void service::note_version(const schema::endpoint_record& record, const std::string& from) {
    const bool is_known = directory_.all().count(endpoint_id(record.id())) > 0;
    if (uses_seeds() && is_known && versions_.note(record, directory_.revision(), from))
        push_news();
}

void service::confirm_versions() {
    if (!hosts_control() || !versions_.waits())
        return;
    std::map<std::string, std::uint64_t> acknowledged;
    for (const std::pair<const std::string, known_keeper>& keeper : keepers_) {
        if (keeper.second.heartbeat.control())
            acknowledged[keeper.first] = acknowledged_revision(keeper.second.heartbeat);
    }
    const std::size_t members = replicas_.at(control_group)->raft().log().members().size();
    const std::vector<membership::service_version> confirmed =
        versions_.confirm(acknowledged, members);
    for (const membership::service_version& version : confirmed) {
        log_info("version_confirmed")
            .with("service", version.first.str())
            .with("version", version.second.str());
        directory_.renew(version.first, version.second);
    }
    if (!confirmed.empty())
        schedule_beacon_push();
}

} // namespace cassia::keeper
