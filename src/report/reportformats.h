#pragma once

#include "burn.h"
#include "objectives.h"
#include "repairlog.h"

#include "rattanrill/base/json.h"

#include <string>

namespace rattanrill::report {

struct Report
{
    Objectives objectives;
    BurnReport burn;
    RepairLog repairs;
};

Json jsonReport(const Report &report);
std::string textReport(const Report &report);
/// A page without references to other files; its plots are inline SVG.
std::string htmlReport(const Report &report);

} // namespace rattanrill::report
