// Reports of the items that ran at endpoints which may have crashed.

#include "cassia/gateway/item_runner.h"
#include "cassia/gateway/request_fingerprint.h"
#include "held_item.h"

namespace cassia::gateway {

const fingerprint& item_runner::fingerprint_of(held_item& item) const {
    if (!item.fingerprint) {
        const schema::item_body& source = item.leased.item();
        item.fingerprint =
            make_fingerprint(item.leased.has_team() ? item.leased.team() : "", host_of(item.leased),
                             "POST", source.url(), source.body());
    }
    return *item.fingerprint;
}

ended_run item_runner::run_of(held_item& item) const {
    const policy::endpoint_process process{item.endpoint, item.incarnation};
    return {item.leased.item().custom_id(),
            fingerprint_of(item),
            process,
            item.address,
            item.service,
            item.sent_at};
}

void item_runner::record_success(held_item& item) const {
    crashes_.record_ended_run(run_of(item));
    if (crashes_.has_records())
        crashes_.record_success(fingerprint_of(item));
}

} // namespace cassia::gateway
