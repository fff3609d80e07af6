// Reports of the requests that ran at endpoints which may have crashed.

#include "cassia/gateway/dispatcher.h"
#include "cassia/gateway/request_fingerprint.h"

namespace cassia::gateway {

const fingerprint& dispatcher::fingerprint_of(online_call& call) {
    if (!call.fingerprint)
        call.fingerprint = make_fingerprint(call.team == nullptr ? "" : call.team->id.str(),
                                            call.request.fields.find("Host"), call.request.method,
                                            call.request.target, call.request.body);
    return *call.fingerprint;
}

ended_run dispatcher::run_of(online_call& call) {
    const policy::endpoint_process process{call.endpoint, call.incarnation};
    return {call.request_id, fingerprint_of(call), process,
            call.address,    call.service,         call.sent_at};
}

void dispatcher::record_success(online_call& call) {
    crashes_.record_ended_run(run_of(call));
    if (crashes_.has_records())
        crashes_.record_success(fingerprint_of(call));
}

} // namespace cassia::gateway
