/** What every request has: identifier, outcome, and the reasons for which it may be refused. */
package org.shallothook.state.request;
