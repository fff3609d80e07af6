/// Usage messages between gateways on the wire.
#pragma once

#include "cassia/policy/usage_exchange.h"
#include "cassia/schema/messages.pb.h"

namespace cassia::gateway {

using endpoint_uses = google::protobuf::RepeatedPtrField<schema::endpoint_use>;

/// \param zone of the sender; pace reports go with the usage of this zone.
void encode_usage(const policy::usage_message& message, const entry_id& sender, const zone_id& zone,
                  instant now, schema::envelope& envelope);
policy::slot_usage_map decode_usage(const endpoint_uses& uses);
/// Adds the pace reports. Values that no endpoint reports, and old reports, are ignored.
void decode_paces(const endpoint_uses& uses, instant now, policy::pace_report_map& paces);

} // namespace cassia::gateway
