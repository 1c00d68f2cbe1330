#pragma once

// The generated code does not follow the project's rules; as a system header it raises no warnings
// in the files that include it.
#pragma GCC system_header

#include "membership/messages.pb.h"
