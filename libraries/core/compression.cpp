#include "core/compression.h"

#include <zstd.h>

namespace peridot {

namespace {

constexpr int fastest_level = 1;

error malformed(std::string_view reason) {
    return {result_code::platform_record_malformed, "cannot decompress: " + std::string(reason)};
}

} // namespace

std::string compress(std::string_view plain) {
    std::string compressed(ZSTD_compressBound(plain.size()), '\0');
    auto const size = ZSTD_compress(compressed.data(), compressed.size(), plain.data(),
                                    plain.size(), fastest_level);
    // ZSTD_compressBound() gives the worst-case size, so compression cannot fail.
    compressed.resize(size);
    return compressed;
}

result<std::string> decompress(std::string_view compressed, std::size_t max_bytes) {
    auto const size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > max_bytes) {
        return malformed("not a Zstandard frame with a known content size within the limit");
    }
    std::string plain(size, '\0');
    auto const written =
        ZSTD_decompress(plain.data(), plain.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0U || written != size) {
        return malformed("the Zstandard frame is corrupt");
    }
    return plain;
}

} // namespace peridot
