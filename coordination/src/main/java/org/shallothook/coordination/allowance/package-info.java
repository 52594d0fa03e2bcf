/**
 * Allowances of teams: how much of a rate that holds for all routers together each router may use,
 * without asking the others before a request.
 */
package org.shallothook.coordination.allowance;
