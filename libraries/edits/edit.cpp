#include "edits/edit.h"

namespace peridot {

namespace {

struct subject_visitor {
    std::string operator()(contract_put const& change) const {
        return "contracts/" + change.terms.workspace;
    }
    std::string operator()(contract_delete const& change) const {
        return "contracts/" + change.workspace;
    }
    std::string operator()(version_revert const& /*change*/) const { return "revert"; }
    std::string operator()(move_put const& change) const { return "moves/" + change.id; }
    std::string operator()(move_finish const& change) const { return "moves/" + change.id; }
};

} // namespace

std::string subject_row_key(edit const& change) {
    return std::visit(subject_visitor{}, change);
}

} // namespace peridot
