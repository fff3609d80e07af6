/// Bytes that wait to be sent on a connection.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace cassia::net {

/// A queue of blocks: what was sent is freed block by block, and nothing is moved when it is.
class output_buffer {
public:
    void append(std::string_view bytes);
    /// Keeps the bytes without copying them.
    void append_shared(std::shared_ptr<const std::string> bytes);
    /// The bytes to be sent next; empty if there are none.
    std::string_view front() const;
    void consume(std::size_t bytes);
    void clear();
    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }

private:
    struct block {
        std::string own;
        std::shared_ptr<const std::string> shared; ///< in place of `own`, if set
    };

    std::deque<block> blocks_;
    std::size_t sent_of_front_ = 0;
    std::size_t size_ = 0;
};

} // namespace cassia::net
