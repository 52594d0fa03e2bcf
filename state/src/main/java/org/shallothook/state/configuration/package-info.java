/** Configuration templates and the state folded from the configuration stream of the log. */
package org.shallothook.state.configuration;
