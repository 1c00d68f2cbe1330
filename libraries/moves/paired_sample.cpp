#include "moves/paired_sample.h"

namespace peridot {

paired_sample& operator+=(paired_sample& left, paired_sample const& right) {
    left.old_version += right.old_version;
    left.new_version += right.new_version;
    return left;
}

} // namespace peridot
