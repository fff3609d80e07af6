#include "cassia/gateway/response_match.h"

namespace cassia::gateway {

std::function<net::response_owner(const net::raw_head&)>
match_by_id(const header_names& names, const std::string& request_id) {
    return [field = names.request_id, request_id](const net::raw_head& head) {
        if (head.fields.find(field) == request_id)
            return net::response_owner::this_request;
        return head.fields.has(field) ? net::response_owner::another_request
                                      : net::response_owner::unknown;
    };
}

} // namespace cassia::gateway
