/// The body of a message, as its reader takes it in.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>

namespace cassia::net {

/// Takes up the bytes that have arrived. Unlike the library's string body it reserves nothing by a
/// Content-Length, which the sender may state wrongly.
struct growing_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& problem) {
            problem = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& problem) {
            const std::size_t size_before = body_.size();
            for (const boost::asio::const_buffer one : boost::beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char*>(one.data()), one.size());
            problem = {};
            return body_.size() - size_before;
        }
        void finish(boost::system::error_code& problem) { problem = {}; }

    private:
        value_type& body_;
    };
};

} // namespace cassia::net
