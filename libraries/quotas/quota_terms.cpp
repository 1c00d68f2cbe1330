#include "quotas/quota_terms.h"

#include "core/digest.h"

namespace peridot {

quota_key quota_key_of(std::string_view workspace) {
    return fingerprint(workspace);
}

} // namespace peridot
