#include "cassia/entry/decision_log.h"

#include "cassia/base/log.h"

#include <algorithm>
#include <iterator>

namespace cassia::entry {

const char* decision_kind_name(decision_kind kind) {
    switch (kind) {
    case decision_kind::routed:
        return "routed";
    case decision_kind::queued:
        return "queued";
    case decision_kind::refused:
        return "refused";
    case decision_kind::retried:
        return "retried";
    case decision_kind::resumed:
        return "resumed";
    case decision_kind::ended:
        return "ended";
    case decision_kind::yielded:
        return "yielded";
    case decision_kind::struck:
        return "struck";
    case decision_kind::ejected:
        return "ejected";
    case decision_kind::item_leased:
        return "item_leased";
    case decision_kind::item_ended:
        return "item_ended";
    }
    return "routed";
}

void decision_log::add(decision_kind kind, const std::string& subject, const std::string& object,
                       const std::string& reason) {
    ring_.push_back({wall_now(), kind, subject, object, reason});
    if (ring_.size() > capacity_)
        ring_.pop_front();
    log_debug("decision")
        .with("kind", decision_kind_name(kind))
        .with("subject", subject)
        .with("object", object)
        .with("reason", reason);
}

std::vector<decision> decision_log::find(const std::string& id) const {
    std::vector<decision> matches;
    std::copy_if(ring_.begin(), ring_.end(), std::back_inserter(matches),
                 [&id](const decision& candidate) {
                     return candidate.subject == id || candidate.object == id;
                 });
    return matches;
}

} // namespace cassia::entry
